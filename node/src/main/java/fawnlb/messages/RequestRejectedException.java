package fawnlb.messages;

import io.undertow.util.StatusCodes;

/**
 * A request can't be admitted. The client gets the status and the message, and perhaps a time after which it may retry.
 */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;
    private final long retryAfterNanos;

    RequestRejectedException(int status, String message) {
        this(status, message, 0);
    }

    private RequestRejectedException(int status, String message, long retryAfterNanos) {
        // Rejections are frequent under overload, and where they come from is clear from their message.
        super(message, null, false, false);
        this.status = status;
        this.retryAfterNanos = retryAfterNanos;
    }

    static RequestRejectedException budgetExhausted(long retryAfterNanos) {
        return new RequestRejectedException(
                StatusCodes.TOO_MANY_REQUESTS, "the team's budget is used up", retryAfterNanos);
    }

    int status() {
        return status;
    }

    /** Returns the time until a retry is useful, 0 if there is none. */
    long retryAfterNanos() {
        return retryAfterNanos;
    }
}
