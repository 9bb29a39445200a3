package fawnlb.policy;

/** One attempt of a request on an endpoint. */
final class Attempt {
    final EndpointState endpoint;
    final long startedAt;
    /** The endpoint's zone and cell when the attempt started: the list may have others by the attempt's end. */
    final int zone;

    final int cell;
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
        this.zone = endpoint.zone;
        this.cell = endpoint.cell;
    }
}
