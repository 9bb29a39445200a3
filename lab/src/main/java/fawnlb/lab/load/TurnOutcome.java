package fawnlb.lab.load;

/** How a turn ended for its client, all attempts taken together. */
public enum TurnOutcome {
    /** The first event came within the client's first-token objective, and the answer was complete. */
    IN_TIME("in time"),
    /** The answer was complete, and its first event late. */
    LATE("late"),
    /** The answer began and was cut off. */
    BROKEN("broken"),
    /** The last attempt got 429 or 503. */
    REJECTED("rejected"),
    /** The last attempt got another error, or its connection broke before a response. */
    FAILED("failed"),
    /** No event came by the deadline of the last attempt. */
    TIMED_OUT("timed out");

    private final String title;

    TurnOutcome(String title) {
        this.title = title;
    }

    /** Returns the name as table headings show it. */
    String title() {
        return title;
    }
}
