package fawnlb.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** STALLED: its connection stayed open and said nothing for too long, before its start or after. */
    SERVED,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NEVER_SENT,
    STALLED;

    /** Whether the attempt may have taken effect. */
    public boolean mayHaveRun() {
        return this != FULL && this != CONNECT_FAILED && this != NEVER_SENT;
    }
}
