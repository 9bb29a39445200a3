package fawnlb.messages;

import fawnlb.http.ResourceExhaustedException;
import fawnlb.metrics.RejectionReason;
import io.undertow.util.StatusCodes;
import java.util.concurrent.TimeUnit;

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

    static RequestRejectedException resourceExhausted(ResourceExhaustedException cause) {
        return new RequestRejectedException(
                StatusCodes.SERVICE_UNAVAILABLE,
                cause.getMessage(),
                TimeUnit.SECONDS.toNanos(cause.retryAfterSeconds()));
    }

    /** Returns the reason for the metrics. */
    RejectionReason reason() {
        return switch (status) {
            case StatusCodes.CONFLICT -> RejectionReason.DUPLICATE_ID;
            case StatusCodes.TOO_MANY_REQUESTS -> RejectionReason.BUDGET;
            case StatusCodes.SERVICE_UNAVAILABLE -> RejectionReason.BODY_MEMORY;
            default -> RejectionReason.INVALID;
        };
    }

    int status() {
        return status;
    }

    /** Returns the time until a retry is useful, 0 if there is none. */
    long retryAfterNanos() {
        return retryAfterNanos;
    }
}
