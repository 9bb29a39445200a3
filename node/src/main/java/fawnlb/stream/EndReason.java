package fawnlb.stream;

import fawnlb.decision.AttemptOutcome;

/** How an attempt and its stream can end: its name, and what the decision module hears of it. */
public enum EndReason {
    /** The answer is whole, and the client has all of it. */
    COMPLETED("whole", AttemptOutcome.SERVED, false),
    /** The backend finds the request itself wrong, and its words went to the client. */
    REJECTED("rejected", AttemptOutcome.SERVED, false),
    /** The backend did not take the request. */
    NOT_ACCEPTED("turned-away", AttemptOutcome.FULL, false),
    /** The backend answered with an error. */
    BACKEND_ERROR("failed", AttemptOutcome.ERROR, false),
    /** No connection came up, or it broke before the request's last byte. */
    CONNECT_FAILED("not-connected", AttemptOutcome.CONNECT_FAILED, false),
    /** The request was not sent, for a reason of the node's own. */
    NOT_SENT("not-sent", AttemptOutcome.NEVER_SENT, false),
    /** The backend's connection stayed open and said nothing for longer than is believed. */
    STALLED("stalled", AttemptOutcome.STALLED, true),
    /** The backend's connection was closed or reset. */
    CONNECTION_LOST("broken", AttemptOutcome.RESET, true),
    /** What the backend sent can't be read, or is longer than is kept. */
    MALFORMED("unreadable", AttemptOutcome.RESET, true),
    /** The framing ended, the answer did not. */
    TRUNCATED("cut-short", AttemptOutcome.RESET, true),
    /** The time set for the attempt was up. */
    TIMED_OUT("out-of-time", AttemptOutcome.TIMEOUT, false),
    /** The node stopped waiting for it. */
    CANCELLED("called-off", AttemptOutcome.CANCELLED, false),
    /** The client closed its connection. */
    CLIENT_DISCONNECTED("reader-left", AttemptOutcome.CANCELLED, false),
    /** The client's connection took no byte for the stated time. */
    CLIENT_STALLED("reader-stopped", AttemptOutcome.CANCELLED, false),
    /** The bytes held for all streams came to their limit, and this stream's reader had taken none for longest. */
    BUFFER_LIMIT_REACHED("crowded-out", AttemptOutcome.CANCELLED, false);

    private final String label;
    private final AttemptOutcome outcome;
    private final boolean dependsOnProgress;

    EndReason(String label, AttemptOutcome outcome, boolean dependsOnProgress) {
        this.label = label;
        this.outcome = outcome;
        this.dependsOnProgress = dependsOnProgress;
    }

    public String label() {
        return label;
    }

    /** What the decision module hears. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Whether it matters where in the answer it struck. */
    public boolean dependsOnProgress() {
        return dependsOnProgress;
    }
}
