package fawnlb.policy;

/**
 * Limits retries to a fraction of the requests, so that they can't multiply the load when everything fails. The budget
 * holds a burst for all instances together, each of which has its part of it, and one retry at least.
 */
final class RetryBudget {
    /** One retry for every five requests. */
    static final double RETRIES_PER_REQUEST = 0.2;
    /** Retries at once of all instances together. */
    static final double BURST = 10;

    private final double maxTokens;
    private double tokens;

    /** Creates a full budget for one of the given number of instances. */
    RetryBudget(int instances) {
        this.maxTokens = Math.max(1, BURST / Math.max(1, instances));
        this.tokens = maxTokens;
    }

    void onRequest() {
        tokens = Math.min(maxTokens, tokens + RETRIES_PER_REQUEST);
    }

    boolean allowsRetry() {
        return tokens >= 1;
    }

    void spend() {
        tokens -= 1;
    }
}
