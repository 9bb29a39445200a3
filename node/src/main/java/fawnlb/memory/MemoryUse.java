package fawnlb.memory;

/** What memory is held for. */
public enum MemoryUse {
    /** Heads of requests that have begun and are not complete. */
    REQUEST_HEADS("request_heads"),
    /** Requests from the end of their head to the end of their exchange, without their bodies. */
    REQUESTS("requests"),
    /** Bodies of requests, and their copies in another dialect. */
    REQUEST_BODIES("request_bodies"),
    /** What was read of responses and is not yet with the clients. */
    RESPONSES("responses"),
    /** The endpoint list, with what is known of each endpoint. */
    ENDPOINTS("endpoints");

    private final String label;

    MemoryUse(String label) {
        this.label = label;
    }

    /** The use's name in metrics and in the log. It is an external name and must not change. */
    public String label() {
        return label;
    }
}
