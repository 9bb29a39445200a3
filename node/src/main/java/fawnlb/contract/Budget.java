package fawnlb.contract;

/** A team's requests and tokens per window. A window starts with the first request after the one before. */
public final class Budget {
    private final long mostRequests;
    private final long mostTokens;
    private final long window;
    private long start = Long.MIN_VALUE;
    private long requests;
    private long tokens;

    public Budget(long mostRequests, long mostTokens, long window) {
        this.mostRequests = mostRequests;
        this.mostTokens = mostTokens;
        this.window = window;
    }

    /** Books a request with the tokens that it may take; 0 if it fits, else how long until it may. */
    public long book(long now, long wanted) {
        if (start == Long.MIN_VALUE || now - start >= window) {
            start = now;
            requests = 0;
            tokens = 0;
        }
        if (requests + 1 > mostRequests || tokens + wanted > mostTokens) {
            return Math.max(1, start + window - now);
        }
        requests++;
        tokens += wanted;
        return 0;
    }

    /** Whether a request of so many tokens could ever fit. */
    public boolean holds(long wanted) {
        return mostRequests > 0 && wanted <= mostTokens;
    }

    /** Corrects a booking made at {@code bookedAt} to the tokens that were taken. */
    public void settle(long bookedAt, long booked, long taken) {
        // A booking of an earlier window went with it.
        if (bookedAt >= start && start != Long.MIN_VALUE) {
            tokens = Math.max(0, tokens + taken - booked);
        }
    }
}
