package fawnlb.lab.load;

/**
 * What a {@link LoadClient} received for a request.
 *
 * @param status 0 if no response head was received
 * @param retryAfter value of the Retry-After header, or the empty string
 * @param complete whether the body ended as its framing requires
 * @param elapsedNanos time from sending the request to the end of the response
 */
public record ClientResponse(
        String id, int status, String retryAfter, String body, boolean complete, long elapsedNanos) {
    /** Whether no connection could be opened for the request. */
    boolean isNotConnected() {
        return status == 0 && elapsedNanos == 0;
    }

    /** Returns the response to a request for which no connection could be opened. */
    static ClientResponse notConnected(String id) {
        return new ClientResponse(id, 0, "", "", false, 0);
    }
}
