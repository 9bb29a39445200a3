package fawnlb.contract;

/**
 * A team's limit on requests and tokens per window of time. A window starts with the first request after the end of the
 * one before. All times are values of one monotonic clock in nanoseconds. Not thread-safe.
 */
public final class Budget {
    private static final long NO_WINDOW = Long.MIN_VALUE;

    private final long maxRequests;
    private final long maxTokens;
    private final long windowNanos;
    private long windowStartNanos = NO_WINDOW;
    private long usedRequests;
    private long usedTokens;

    /** Creates a budget whose first window has not started; all limits are for one window. */
    public Budget(long maxRequests, long maxTokens, long windowNanos) {
        this.maxRequests = maxRequests;
        this.maxTokens = maxTokens;
        this.windowNanos = windowNanos;
    }

    /**
     * The tokens that one request holds in its window until its response has ended.
     *
     * @param waitNanos 0 if the request was admitted; otherwise the time until the window ends, and nothing is held
     */
    public record Reservation(long reservedAtNanos, long tokens, long waitNanos) {
        /** Returns whether the request may be forwarded now. */
        public boolean isGranted() {
            return waitNanos == 0;
        }
    }

    /** Reserves one request and the tokens that it takes at most. */
    public Reservation reserve(long nowNanos, long tokens) {
        if (windowStartNanos == NO_WINDOW || nowNanos - windowStartNanos >= windowNanos) {
            startWindow(nowNanos);
        }
        if (usedRequests + 1 > maxRequests || usedTokens + tokens > maxTokens) {
            return new Reservation(nowNanos, tokens, Math.max(1, windowStartNanos + windowNanos - nowNanos));
        }
        usedRequests++;
        usedTokens += tokens;
        return new Reservation(nowNanos, tokens, 0);
    }

    private void startWindow(long nowNanos) {
        windowStartNanos = nowNanos;
        usedRequests = 0;
        usedTokens = 0;
    }

    /** Returns whether a request with this number of tokens fits into an unused window. */
    public boolean fitsWindow(long tokens) {
        return maxRequests > 0 && tokens <= maxTokens;
    }

    /**
     * Replaces a granted reservation's tokens by those that the response used. A reservation of an earlier window is
     * ignored, since its window's counts are gone.
     */
    public void settle(Reservation reservation, long actualTokens) {
        if (windowStartNanos != NO_WINDOW && reservation.reservedAtNanos() >= windowStartNanos) {
            usedTokens = Math.max(0, usedTokens + actualTokens - reservation.tokens());
        }
    }
}
