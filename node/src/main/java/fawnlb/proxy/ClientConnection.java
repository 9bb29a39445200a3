package fawnlb.proxy;

import fawnlb.stream.AttemptEnd;

/** The client's side of a flow. Exactly one of its answers is called, once, unless the client has left. */
public interface ClientConnection {
    /** Whether the client is there now, as its connection says at this moment and not when it was last looked at. */
    boolean isConnected();

    /** For how long the request may have waited before its connection was accepted, in nanoseconds. */
    default long queuedNanos() {
        return 0;
    }

    /** A backend's stream is the answer. */
    void streamResponse(ResponseSource source);

    /**
     * Fixed response: trying again is harmless, after so many nanoseconds. Cause: how the last attempt ended, null if
     * there was none.
     */
    void sendRejection(AttemptEnd cause, long retryAfterNanos);

    /** Fixed response: failed, with no word on what it did. */
    void sendFailure(AttemptEnd cause);
}
