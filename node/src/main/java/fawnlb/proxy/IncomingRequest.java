package fawnlb.proxy;

/**
 * A request as a front submits it: the facts that decisions need, and the payload that only fronts and backends can
 * read.
 *
 * @param classIndex the request's class by its place in the settings
 * @param tenantIndex the request's tenant by its place in the settings, -1 if the settings don't name it
 * @param sessionKey equal for requests of one session, 0 for none
 * @param prefixKey equal for requests whose prompts begin alike, 0 for none
 * @param timeoutNanos how long the client waits for its response to begin, from its arrival, in nanoseconds
 * @param promptTokens the length of the prompt, 0 if unknown
 * @param prefixTokens the length of the part that the prefix key stands for, 0 if unknown
 * @param maxTokens the largest number of tokens in the response, 0 if unknown
 * @param clientRetry whether the client says that it has sent the request before
 * @param payload the request itself
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

    /** The request itself, which the proxy passes on unread. */
    public interface RequestPayload {
        /** The id that the client gave the request, for log lines. */
        String requestId();

        /** No further attempt will be made, so what only attempts need can be dropped. May be called repeatedly. */
        default void release() {}
    }
}
