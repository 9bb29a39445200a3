package fawnlb.lab.engine;

/**
 * How an engine behaves after its start. Its speed rises linearly from a part of the full speed. An engine that
 * receives too much work in that time collapses and stays down.
 *
 * @param initialCapacity speed at the start as a part of the full speed
 * @param durationNanos time from the start to the full speed
 * @param overloadMultiple the engine collapses when it receives more than this multiple of the work that it can do
 * @param overloadWindowNanos sliding window over which the received work is added up
 */
public record SlowStartProfile(
        double initialCapacity, long durationNanos, double overloadMultiple, long overloadWindowNanos) {

    /** Returns the speed of an engine of this age as a part of its full speed. */
    double capacityAt(long ageNanos) {
        return Math.min(1, initialCapacity + (1 - initialCapacity) * Math.max(0, ageNanos) / durationNanos);
    }

    /** Returns the work in milliseconds that collapses an engine of this capacity when it is exceeded in one window. */
    double overloadMillis(double capacity) {
        return overloadMultiple * capacity * overloadWindowNanos / Engine.NANOS_PER_MILLI;
    }
}
