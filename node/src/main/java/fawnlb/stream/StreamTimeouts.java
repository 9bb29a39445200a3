package fawnlb.stream;

/**
 * The timeouts and limits of response streams.
 *
 * @param isAdaptive whether silences are compared with the usual latencies; otherwise {@code maxSilenceNanos} alone
 *     holds, after the head
 * @param suspicionLevel a silence is suspect if it is exceeded once in 10 to this power
 * @param backendPauseNanos backends may pause for this long in the middle of an answer and continue: a stream that has
 *     begun is ended when the usual gap and this pause have both passed
 * @param maxSilenceNanos a stream whose client is waiting is ended after this silence in any case
 * @param minFirstEventWaitNanos a first event is waited for at least this long, however short the usual wait is
 * @param commonSilenceShare a silence that more than this share of the backends with streams have in common is one of
 *     the whole fleet, and ends streams only after {@code maxSilenceNanos}
 * @param clientTimeoutNanos a client that reads nothing for this long is disconnected
 * @param maxBufferedBytes bytes that may be buffered for all streams together
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
    private static final long DEFAULT_MAX_SILENCE_NANOS = 4500 * MILLISECOND_NANOS;

    /**
     * Returns the values that hold without a configuration file. With them a client waits at most 5 s after a backend's
     * last event, and a stream that has begun is not ended before that time is nearly over: its backend may continue,
     * and the client can't get the rest elsewhere.
     */
    public static StreamTimeouts defaults() {
        return new StreamTimeouts(
                true,
                5,
                DEFAULT_MAX_SILENCE_NANOS,
                DEFAULT_MAX_SILENCE_NANOS,
                500 * MILLISECOND_NANOS,
                0.6,
                20_000 * MILLISECOND_NANOS,
                16L << 20);
    }
}
