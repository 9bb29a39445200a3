package fawnlb.simulator;

import java.io.IOException;

/** A batch that breaks the simulator's format. The message names the problem and the byte of the stream. */
final class MalformedBatchException extends IOException {
    private static final long serialVersionUID = 1;

    private final long position;

    MalformedBatchException(String problem, long position) {
        super(problem + " at byte " + position);
        this.position = position;
    }

    /** The byte of the stream at which the problem is, counted from 0. */
    long position() {
        return position;
    }
}
