package fawnlb.stream;

/**
 * Puts a wake off that comes much later than it was asked for. It comes from a thread that was held up, and that may
 * not have read yet what arrived meanwhile. Belongs to its stream.
 */
final class LateWakeGuard {
    /** A wake that is this late is put off by the delay below, so that the thread can read first. */
    private static final long LATE_WAKE_NANOS = 100_000_000;

    private static final long RECHECK_DELAY_NANOS = 50_000_000;

    /** On a thread that is always late, the stream must end all the same. */
    private static final int MAX_RECHECKS = 4;

    private int rechecks;
    private long recheckAtNanos;
    private long plannedWakeNanos = ResponseStream.NEVER;

    /** The head or an event was read: the next wake may be put off anew. */
    void reset() {
        rechecks = 0;
        recheckAtNanos = 0;
    }

    /** Returns when a wake that is due at this time may come. */
    long earliest(long dueAtNanos) {
        return Math.max(recheckAtNanos, dueAtNanos);
    }

    /** A wake was asked for. */
    void plan(long wakeAtNanos) {
        plannedWakeNanos = wakeAtNanos;
    }

    /** Takes a wake, and returns whether it was put off. */
    boolean isPutOff(long nowNanos) {
        if (nowNanos - plannedWakeNanos <= LATE_WAKE_NANOS || rechecks >= MAX_RECHECKS) {
            return false;
        }
        rechecks++;
        recheckAtNanos = nowNanos + RECHECK_DELAY_NANOS;
        return true;
    }
}
