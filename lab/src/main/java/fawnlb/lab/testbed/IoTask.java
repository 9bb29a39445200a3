package fawnlb.lab.testbed;

import java.io.IOException;

/** A task on an I/O thread that may fail with an I/O error. */
@FunctionalInterface
public interface IoTask {
    /** Runs the task. */
    void run() throws IOException;
}
