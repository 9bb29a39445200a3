package fawnlb.restore;

/** How long a failed endpoint is ejected: a base time that doubles with each failure in a row, up to a longest one. */
final class EjectionBackoff {
    /** The base time times two to this power is longer than any setting allows, and stays within a long. */
    private static final int MAX_DOUBLINGS = 20;

    private final long baseNanos;
    private final long maxNanos;

    EjectionBackoff(long baseNanos, long maxNanos) {
        this.baseNanos = baseNanos;
        this.maxNanos = maxNanos;
    }

    /**
     * The length of an ejection, in nanoseconds.
     *
     * @param earlierFailures failures since the last response, without the present one
     */
    long ejectionNanos(int earlierFailures) {
        return Math.min(maxNanos, baseNanos << Math.min(earlierFailures, MAX_DOUBLINGS));
    }
}
