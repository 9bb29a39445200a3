package fawnlb.policy;

/** One attempt of a request on an endpoint. */
final class Attempt {
    final EndpointState endpoint;
    final long startedAt;
    boolean inFlight = true;
    /** Whether the attempt may have taken effect; unknown, and so true, until it has ended. */
    boolean mayHaveRun = true;

    /** Whether the connection broke: the endpoint's process may have gone, and another one come up at its address. */
    boolean connectionLost;

    boolean responseStarted;
    /** From the start of the attempt to its first token, once the response has started. */
    long firstTokenNanos;

    Attempt(EndpointState endpoint, long startedAt) {
        this.endpoint = endpoint;
        this.startedAt = startedAt;
    }
}
