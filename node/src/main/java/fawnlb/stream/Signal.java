package fawnlb.stream;

/** What can happen to an attempt and its stream. */
public enum Signal {
    /** The head of an answer was read. */
    ANSWER("a head with an answer"),
    /** A head was read that is no answer. */
    NO_ANSWER("a head with none"),
    /** Bytes for the client came. */
    PIECE("a piece"),
    /** Bytes came that hold nothing for the client yet. */
    SIGN("a sign of life"),
    /** Silent for longer than is usual. */
    UNUSUAL("an unusual silence"),
    /** Silent for longer than is believed. */
    SILENCE("too long a silence"),
    /** The client could not take all of a piece. */
    LAGS("the reader lags"),
    /** The client took a part of what is held for it. */
    TAKES("the reader takes some"),
    /** The client took all that is held for it. */
    TOOK("the reader took all"),
    /** The client has taken nothing for a second. */
    IDLE("an idle reader"),
    /** The client has taken nothing for the stated time. */
    GIVEN_UP("the reader is given up"),
    /** The answer is whole. */
    LAST("the last byte"),
    /** The attempt is over and gives the client nothing more: its end says why. */
    OVER("the backend's side is over"),
    /** The client's side is over. */
    CLOSED("the client's side is over");

    private final String words;

    Signal(String words) {
        this.words = words;
    }

    public String words() {
        return words;
    }
}
