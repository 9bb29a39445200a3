package fawnlb.proxy;

/** What can happen to a request. */
enum RequestEvent {
    /** The proxy has taken it from its mailbox and is about to tell the load balancer. */
    ADMITTED("admitted"),
    /** An attempt was handed to a backend. */
    ATTEMPT_STARTED("attempt started"),
    /** The response of the active attempt has begun. */
    RESPONSE_STARTED("response started"),
    /** The active attempt has ended, for whatever reason. */
    ATTEMPT_ENDED("attempt ended"),
    /** The client was sent a rejection or a failure, or has left. */
    CLOSED("rejected, failed or abandoned by its client");

    private final String label;

    RequestEvent(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
