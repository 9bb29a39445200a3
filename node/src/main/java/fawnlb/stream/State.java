package fawnlb.stream;

/** Where an attempt and its stream stand. */
public enum State {
    /** Sent, or about to be: nothing of an answer has been read. */
    HEAD("waiting for the head"),
    /** A head that promises an answer was read, and no event of it. */
    FIRST_EVENT("waiting for the first event"),
    /** The head is no answer; what follows it is read off, for the connection's sake. */
    TURNED_AWAY("turned away"),
    /** Events come and are taken. */
    FLOWING("flowing"),
    /** Silent for longer than is usual, and not yet given up. */
    STALLED("stalled"),
    /** The client has not taken all of the last piece; the backend is not read from. */
    READER_SLOW("reader slow"),
    /** The client has taken no byte for a second. */
    READER_STOPPED("reader stopped"),
    /** All of the answer is here; the client has yet to take the rest. */
    LAST_PIECE("last piece"),
    /** The backend's side is over before the answer is whole; the client is being told. */
    BROKEN("broken"),
    /** Over for both sides. */
    ENDED("ended");

    private final String words;

    State(String words) {
        this.words = words;
    }

    public String words() {
        return words;
    }
}
