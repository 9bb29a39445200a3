package fawnlb.stream;

/** What can happen to an attempt and its stream; the label is its name in the documentation's transition table. */
public enum StreamEvent {
    /** The head of a response was read whose body goes to the client. */
    RESPONSE_HEAD("head of an answer"),
    /** The head of a response was read whose body is discarded. */
    ERROR_HEAD("head of an error"),
    /** Bytes for the client were read. */
    CHUNK("chunk for the client"),
    /** Bytes were read that hold nothing for the client yet. */
    PARTIAL_DATA("partial data"),
    /** The backend has been silent for longer than usual. */
    SILENCE_SUSPECTED("suspect silence"),
    /** The backend has been silent for too long. */
    SILENCE_TIMEOUT("silence timeout"),
    /** The client's connection did not take all of a chunk. */
    CLIENT_BACKPRESSURE("client backpressure"),
    /** The client read a part of what is buffered for it. */
    CLIENT_PROGRESS("client progress"),
    /** The client read all that was buffered for it. */
    CLIENT_CAUGHT_UP("client caught up"),
    /** The client has read nothing for a second. */
    CLIENT_IDLE("client idle"),
    /** The client has read nothing for the client timeout. */
    CLIENT_TIMEOUT("client timeout"),
    /** The response is complete. */
    RESPONSE_COMPLETE("response complete"),
    /** The backend's side has ended before the response was complete. */
    BACKEND_ENDED("backend ended"),
    /** The client's side has ended. */
    CLIENT_CLOSED("client closed");

    private final String label;

    StreamEvent(String label) {
        this.label = label;
    }

    /** The event's name in the documentation. */
    public String label() {
        return label;
    }
}
