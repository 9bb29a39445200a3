package fawnlb.stream;

/** The state of an attempt and its stream; the label is its name on the admin page. */
public enum StreamState {
    /** The request is sent or about to be, and no head of a response has been read. */
    AWAITING_HEAD("waiting for the head"),
    /** The head of an answer has been read, and no event of it. */
    AWAITING_FIRST_EVENT("waiting for the first event"),
    /** The head is not that of an answer; the body is discarded, so that the connection can be used again. */
    DISCARDING_BODY("turned away"),
    /** Events arrive, and the client reads them. */
    STREAMING("flowing"),
    /** The backend has been silent for longer than usual, and not yet for too long. */
    STALLED("stalled"),
    /** The client has not read all of the last chunk; the backend is not read from. */
    CLIENT_SLOW("reader slow"),
    /** The client has read nothing for a second. */
    CLIENT_STALLED("reader stopped"),
    /** The response is complete, and the client has yet to read the rest. */
    FLUSHING("last piece"),
    /** The stream has ended before the client had all of it, and the client's side has yet to be closed. */
    ABORTED("broken"),
    /** Both sides have ended. */
    CLOSED("ended");

    private final String label;

    StreamState(String label) {
        this.label = label;
    }

    /** The state's name on the admin page and in the documentation. */
    public String label() {
        return label;
    }
}
