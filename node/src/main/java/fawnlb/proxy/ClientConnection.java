package fawnlb.proxy;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.stream.AttemptEnd;

/**
 * The client's side of a request. The proxy calls exactly one of {@link #streamResponse}, {@link #sendRejection} and
 * {@link #sendFailure}, once, unless the client has left before.
 */
@EventLoopOnly
public interface ClientConnection {
    /** Whether the client is still connected. The implementation looks at the connection now. */
    boolean isConnected();

    /** For how long the request may have waited before its connection was accepted, in nanoseconds. */
    default long queuedNanos() {
        return 0;
    }

    /**
     * The request has its final answer or its client has left, and no attempt is active. Called once, as the last.
     *
     * @param mayHaveRun whether an attempt may have taken effect
     */
    default void onRequestEnded(boolean mayHaveRun) {}

    /** Answers with a backend's response. */
    void streamResponse(ResponseSource source);

    /**
     * Answers with a rejection: a retry does no harm.
     *
     * @param cause how the last attempt ended, {@code null} if there was none
     * @param retryAfterNanos when the client may retry, in nanoseconds from now
     */
    void sendRejection(AttemptEnd cause, long retryAfterNanos);

    /**
     * Answers with a failure: the request may have been executed.
     *
     * @param cause how the last attempt ended, {@code null} if there was none
     */
    void sendFailure(AttemptEnd cause);
}
