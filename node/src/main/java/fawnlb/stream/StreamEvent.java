package fawnlb.stream;

/** What can happen to an attempt and its stream. */
public enum StreamEvent {
    /** The head of an answer was read. */
    RESPONSE_HEAD("a head with an answer"),
    /** A head was read that is no answer. */
    ERROR_HEAD("a head with none"),
    /** Bytes for the client came. */
    CHUNK("a piece"),
    /** Bytes came that hold nothing for the client yet. */
    PARTIAL_DATA("a sign of life"),
    /** Silent for longer than is usual. */
    SILENCE_SUSPECTED("an unusual silence"),
    /** Silent for longer than is believed. */
    SILENCE_TIMEOUT("too long a silence"),
    /** The client could not take all of a piece. */
    CLIENT_BACKPRESSURE("the reader lags"),
    /** The client took a part of what is held for it. */
    CLIENT_PROGRESS("the reader takes some"),
    /** The client took all that is held for it. */
    CLIENT_CAUGHT_UP("the reader took all"),
    /** The client has taken nothing for a second. */
    CLIENT_IDLE("an idle reader"),
    /** The client has taken nothing for the stated time. */
    CLIENT_TIMEOUT("the reader is given up"),
    /** The answer is whole. */
    RESPONSE_COMPLETE("the last byte"),
    /** The attempt is over and gives the client nothing more: its end says why. */
    BACKEND_ENDED("the backend's side is over"),
    /** The client's side is over. */
    CLIENT_CLOSED("the client's side is over");

    private final String label;

    StreamEvent(String label) {
        this.label = label;
    }

    public String label() {
        return label;
    }
}
