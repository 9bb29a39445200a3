package fawnlb.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The injected faults of a soak and what went wrong beside the rules, with their times. Thread-safe. */
final class SoakLog {
    private static final double NANOS_PER_SECOND = 1e9;

    private volatile long startedAt = System.nanoTime();
    private final List<String> faults = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final Map<Integer, Integer> shutdownResponses = new TreeMap<>();
    private int kills;
    private long peakMemoryBytes;

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

    /** Counts a response to a request that was sent around a shutdown, by its status; 0 for none. */
    synchronized void countShutdownResponse(int status) {
        shutdownResponses.merge(status, 1, Integer::sum);
    }

    /** Counts a node that was killed because its shutdown took too long. */
    synchronized void countKill() {
        kills++;
    }

    /** Returns the responses around shutdowns, and the kills, as text. */
    synchronized String shutdownTotals() {
        return shutdownResponses + ", killed " + kills;
    }

    /** Records the largest memory that a node's process has had. */
    synchronized void recordPeakMemory(long bytes) {
        peakMemoryBytes = Math.max(peakMemoryBytes, bytes);
    }

    /** Returns the largest memory of all processes that was recorded. */
    synchronized long peakMemoryBytes() {
        return peakMemoryBytes;
    }

    synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    synchronized List<String> failures() {
        return List.copyOf(failures);
    }
}
