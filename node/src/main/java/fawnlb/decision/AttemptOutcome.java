package fawnlb.decision;

/** How an attempt, or a health check, ended. */
public enum AttemptOutcome {
    /** The endpoint answered, and the response is complete. */
    SERVED,
    /** The endpoint answered with an error. */
    ERROR,
    /** The endpoint declined the attempt, since it has no capacity left. */
    FULL,
    /** The attempt reached its deadline before a response started. */
    TIMEOUT,
    /** No connection to the endpoint could be opened. */
    CONNECT_FAILED,
    /** The connection was lost before the response was complete. */
    RESET,
    /** The host gave the attempt up, for instance because the client disconnected. */
    CANCELLED,
    /** The attempt was dropped before any of it was sent. */
    NEVER_SENT,
    /** The connection stayed open but was silent for too long, before the response started or after. */
    STALLED;

    /** Whether the attempt may have taken effect on the endpoint. */
    public boolean mayHaveRun() {
        return this != FULL && this != CONNECT_FAILED && this != NEVER_SENT;
    }
}
