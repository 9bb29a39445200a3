package fawnlb.stream;

import fawnlb.decision.Balancer.Outcome;

/** How an attempt and its stream can end: its name, and what the decision module hears of it. */
public enum End {
    /** The answer is whole, and the client has all of it. */
    WHOLE("whole", Outcome.SERVED, false),
    /** The backend finds the request itself wrong, and its words went to the client. */
    REJECTED("rejected", Outcome.SERVED, false),
    /** The backend did not take the request. */
    TURNED_AWAY("turned-away", Outcome.FULL, false),
    /** The backend answered with an error. */
    FAILED("failed", Outcome.ERROR, false),
    /** No connection came up, or it broke before the request's last byte. */
    NOT_CONNECTED("not-connected", Outcome.CONNECT_FAILED, false),
    /** The request was not sent, for a reason of the node's own. */
    NOT_SENT("not-sent", Outcome.NEVER_SENT, false),
    /** The backend's connection stayed open and said nothing for longer than is believed. */
    STALLED("stalled", Outcome.STALLED, true),
    /** The backend's connection was closed or reset. */
    BROKEN("broken", Outcome.RESET, true),
    /** What the backend sent can't be read, or is longer than is kept. */
    UNREADABLE("unreadable", Outcome.RESET, true),
    /** The framing ended, the answer did not. */
    CUT_SHORT("cut-short", Outcome.RESET, true),
    /** The time set for the attempt was up. */
    OUT_OF_TIME("out-of-time", Outcome.TIMEOUT, false),
    /** The node stopped waiting for it. */
    CALLED_OFF("called-off", Outcome.CANCELLED, false),
    /** The client closed its connection. */
    READER_LEFT("reader-left", Outcome.CANCELLED, false),
    /** The client's connection took no byte for the stated time. */
    READER_STOPPED("reader-stopped", Outcome.CANCELLED, false),
    /** The bytes held for all streams came to their limit, and this stream's reader had taken none for longest. */
    CROWDED_OUT("crowded-out", Outcome.CANCELLED, false);

    private final String word;
    private final Outcome outcome;
    private final boolean placed;

    End(String word, Outcome outcome, boolean placed) {
        this.word = word;
        this.outcome = outcome;
        this.placed = placed;
    }

    public String word() {
        return word;
    }

    /** What the decision module hears. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether it matters where in the answer it struck. */
    public boolean placed() {
        return placed;
    }
}
