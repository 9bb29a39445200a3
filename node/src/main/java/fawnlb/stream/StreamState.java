package fawnlb.stream;

/** Where an attempt and its stream stand. */
public enum StreamState {
    /** Sent, or about to be: nothing of an answer has been read. */
    AWAITING_HEAD("waiting for the head"),
    /** A head that promises an answer was read, and no event of it. */
    AWAITING_FIRST_EVENT("waiting for the first event"),
    /** The head is no answer; what follows it is read off, for the connection's sake. */
    DISCARDING_BODY("turned away"),
    /** Events come and are taken. */
    STREAMING("flowing"),
    /** Silent for longer than is usual, and not yet given up. */
    STALLED("stalled"),
    /** The client has not taken all of the last piece; the backend is not read from. */
    CLIENT_SLOW("reader slow"),
    /** The client has taken no byte for a second. */
    CLIENT_STALLED("reader stopped"),
    /** All of the answer is here; the client has yet to take the rest. */
    FLUSHING("last piece"),
    /** The backend's side is over before the answer is whole; the client is being told. */
    ABORTED("broken"),
    /** Over for both sides. */
    CLOSED("ended");

    private final String label;

    StreamState(String label) {
        this.label = label;
    }

    public String label() {
        return label;
    }
}
