package fawnlb.stream;

/** What can happen to an attempt and its stream; the label is its name in the documentation's transition table. */
public enum StreamEvent {
    /** The head of a response was read whose body goes to the client. */
    RESPONSE_HEAD("a head with an answer"),
    /** The head of a response was read whose body is discarded. */
    ERROR_HEAD("a head with none"),
    /** Bytes for the client were read. */
    CHUNK("a piece"),
    /** Bytes were read that hold nothing for the client yet. */
    PARTIAL_DATA("a sign of life"),
    /** The backend has been silent for longer than usual. */
    SILENCE_SUSPECTED("an unusual silence"),
    /** The backend has been silent for too long. */
    SILENCE_TIMEOUT("too long a silence"),
    /** The client's connection did not take all of a chunk. */
    CLIENT_BACKPRESSURE("the reader lags"),
    /** The client read a part of what is buffered for it. */
    CLIENT_PROGRESS("the reader takes some"),
    /** The client read all that was buffered for it. */
    CLIENT_CAUGHT_UP("the reader took all"),
    /** The client has read nothing for a second. */
    CLIENT_IDLE("an idle reader"),
    /** The client has read nothing for the client timeout. */
    CLIENT_TIMEOUT("the reader is given up"),
    /** The response is complete. */
    RESPONSE_COMPLETE("the last byte"),
    /** The backend's side has ended before the response was complete. */
    BACKEND_ENDED("the backend's side is over"),
    /** The client's side has ended. */
    CLIENT_CLOSED("the client's side is over");

    private final String label;

    StreamEvent(String label) {
        this.label = label;
    }

    /** The event's name in the documentation. */
    public String label() {
        return label;
    }
}
