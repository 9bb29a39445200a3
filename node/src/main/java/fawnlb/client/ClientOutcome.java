package fawnlb.client;

/** How an exchange ended, as its client saw it. */
public enum ClientOutcome {
    /** The client got a backend's whole response. */
    COMPLETED("served"),
    /** The client got a fixed response that lets it retry. */
    REJECTED("refused"),
    /** The client got a fixed response that says that its request failed. */
    FAILED("failed"),
    /** The connection was closed in the middle of a response, because the response broke off at the backend. */
    INTERRUPTED("broken"),
    /** The client closed its connection before its response was complete. */
    CLIENT_DISCONNECTED("gone");

    private final String label;

    ClientOutcome(String label) {
        this.label = label;
    }

    /** The outcome's name in metrics and in the request log. It is an external name and must not change. */
    public String label() {
        return label;
    }
}
