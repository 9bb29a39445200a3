package fawnlb.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** The injected faults of a soak and what went wrong beside the rules, with their times. Thread-safe. */
final class SoakLog {
    private static final double NANOS_PER_SECOND = 1e9;

    private volatile long startedAt = System.nanoTime();
    private final List<String> faults = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    /** Sets the start of the run, from which all times count. */
    void start() {
        startedAt = System.nanoTime();
    }

    /** Returns the time since the start of the run. */
    long elapsedNanos() {
        return System.nanoTime() - startedAt;
    }

    /** Records that a fault begins; the number is what its details are derived from. */
    synchronized void addFault(InjectedFault fault, int selector) {
        faults.add(withTime(fault + " " + selector));
    }

    /** Records that a node did not behave as it should. */
    synchronized void addFailure(String description) {
        failures.add(withTime(description));
    }

    private String withTime(String text) {
        return String.format("%.2f s: %s", elapsedNanos() / NANOS_PER_SECOND, text);
    }

    synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    synchronized List<String> failures() {
        return List.copyOf(failures);
    }
}
