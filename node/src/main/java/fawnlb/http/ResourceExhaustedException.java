package fawnlb.http;

/** A request that can't be accepted now because a resource of this process is used up. The client may retry it. */
public final class ResourceExhaustedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Bodies are in memory until their responses begin, so a second later there may be room. */
    private static final int BODY_RETRY_AFTER_SECONDS = 1;

    private final String resource;
    private final int retryAfterSeconds;

    /**
     * Creates an exception.
     *
     * @param resource what is used up, such as the memory for request bodies
     * @param retryAfterSeconds after how many seconds the client may retry
     * @param detail the text that the client reads
     */
    ResourceExhaustedException(String resource, int retryAfterSeconds, String detail) {
        super(detail);
        this.resource = resource;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /** There is no room for the body of a request. */
    static ResourceExhaustedException noRoomForBody() {
        return new ResourceExhaustedException(
                "request body memory", BODY_RETRY_AFTER_SECONDS, "no room for the body; try again later");
    }

    /** What is used up. */
    public String resource() {
        return resource;
    }

    /** After how many seconds the client may retry. */
    public int retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
