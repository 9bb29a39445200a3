package fawnlb.contract;

/** A team's requests and tokens per window. A window starts with the first request after the one before. */
public final class Budget {
    private final long maxRequests;
    private final long maxTokens;
    private final long windowNanos;
    private long windowStartNanos = Long.MIN_VALUE;
    private long usedRequests;
    private long usedTokens;

    public Budget(long maxRequests, long maxTokens, long windowNanos) {
        this.maxRequests = maxRequests;
        this.maxTokens = maxTokens;
        this.windowNanos = windowNanos;
    }

    /** Books a request with the tokens that it may take; 0 if it fits, else how long until it may. */
    public long reserve(long nowNanos, long estimatedTokens) {
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos >= windowNanos) {
            windowStartNanos = nowNanos;
            usedRequests = 0;
            usedTokens = 0;
        }
        if (usedRequests + 1 > maxRequests || usedTokens + estimatedTokens > maxTokens) {
            return Math.max(1, windowStartNanos + windowNanos - nowNanos);
        }
        usedRequests++;
        usedTokens += estimatedTokens;
        return 0;
    }

    /** Whether a request of so many tokens could ever fit. */
    public boolean fitsWindow(long estimatedTokens) {
        return maxRequests > 0 && estimatedTokens <= maxTokens;
    }

    /** Corrects a booking made at {@code reservedAtNanos} to the tokens that were taken. */
    public void settle(long reservedAtNanos, long reservedTokens, long actualTokens) {
        // A booking of an earlier window went with it.
        if (reservedAtNanos >= windowStartNanos && windowStartNanos != Long.MIN_VALUE) {
            usedTokens = Math.max(0, usedTokens + actualTokens - reservedTokens);
        }
    }
}
