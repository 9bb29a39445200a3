package fawnlb.metrics;

import java.util.logging.Logger;

/**
 * Why a request is rejected before the load balancer has decided on it. Each is a label of
 * {@link Metric#REQUESTS_REJECTED}. Safe for all threads.
 */
public enum RejectionReason {
    /** The head, the body or a header can't be accepted. */
    INVALID("invalid"),
    /** A request with the same id is in flight, or may have run. */
    DUPLICATE_ID("duplicate_id"),
    /** The team's budget is used up. */
    BUDGET("budget"),
    /** There are too many client connections. */
    CONNECTION_LIMIT("connection_limit"),
    /** There is no memory for the request. */
    REQUEST_MEMORY("request_memory"),
    /** There is no memory for the request's body, or for its translation. */
    BODY_MEMORY("body_memory"),
    /** There are too many open requests. */
    OPEN_REQUESTS("open_requests"),
    /** The event loop is too far behind to take another request. */
    MAILBOX_FULL("mailbox_full"),
    /** The process shuts down. */
    SHUTDOWN("shutdown");

    private static final Logger LOG = Logger.getLogger(RejectionReason.class.getName());

    private final String label;

    RejectionReason(String label) {
        this.label = label;
    }

    /** The reason's name in {@code /metrics}. It is an external name and must not change. */
    public String label() {
        return label;
    }

    /**
     * Counts a rejected request, and logs it at FINE.
     *
     * @param requestId the id that the client gave its request, null if it is not known
     */
    public void record(String requestId) {
        Metrics.increment(Metric.REQUESTS_REJECTED, label);
        LOG.fine(() -> LogLine.event("request rejected")
                .requestId(requestId)
                .reason(label)
                .toString());
    }
}
