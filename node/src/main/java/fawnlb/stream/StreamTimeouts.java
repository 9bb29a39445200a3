package fawnlb.stream;

/**
 * What holds for streams. Times are nanoseconds, sizes bytes.
 *
 * @param isAdaptive whether silences are judged by what is usual; else {@code maxSilenceNanos} alone holds, after the
 *     head
 * @param suspicionLevel what is usual is what is exceeded once in so many, as a power of ten
 * @param backendPauseNanos a box may pause for so long in mid-answer and go on: a stream that has begun is given up
 *     when the usual gap and this have passed
 * @param maxSilenceNanos and never kept for a longer one while its reader is ready
 * @param minFirstEventWaitNanos a first event is waited for so long at least, whatever is usual
 * @param commonSilenceShare a silence that this share of the backends with streams has in common is the fleet's, not
 *     the backend's
 * @param clientTimeoutNanos a reader that takes no byte for so long is left
 * @param maxBufferedBytes bytes that may be held for all streams together
 */
public record StreamTimeouts(
        boolean isAdaptive,
        double suspicionLevel,
        long backendPauseNanos,
        long maxSilenceNanos,
        long minFirstEventWaitNanos,
        double commonSilenceShare,
        long clientTimeoutNanos,
        long maxBufferedBytes) {
    private static final long MILLISECOND_NANOS = 1_000_000;

    /** What holds where no file says otherwise: clients are left waiting at most 5 s after a backend's last event. */
    public static StreamTimeouts defaults() {
        return new StreamTimeouts(
                true,
                5,
                3000 * MILLISECOND_NANOS,
                4500 * MILLISECOND_NANOS,
                500 * MILLISECOND_NANOS,
                0.6,
                20_000 * MILLISECOND_NANOS,
                16L << 20);
    }
}
