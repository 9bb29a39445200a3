package fawnlb.proxy;

/**
 * What a front hands in for a flow: the facts that the decisions need, and the parcel that only fronts and backends can
 * read. {@code timeoutNanos}: nanoseconds that the client still waits for the answer to begin.
 */
public record IncomingRequest(
        int classIndex,
        int tenantIndex,
        long sessionKey,
        long prefixKey,
        long timeoutNanos,
        double promptTokens,
        double prefixTokens,
        double maxTokens,
        boolean clientRetry,
        RequestPayload payload) {

    /** The request itself, which the core carries unread. */
    public interface RequestPayload {
        /** The id that the client gave it, for the log. */
        default String requestId() {
            return "";
        }
    }
}
