package fawnlb.discovery;

import java.io.IOException;

/**
 * Discovery has sent what is no endpoint list, or a list that must not be applied. The message is meant for the log.
 */
public final class EndpointListFormatException extends IOException {
    private static final long serialVersionUID = 1;

    /** What is wrong with the endpoint list. */
    public enum Reason {
        /** The text is no JSON, or a field has a value of the wrong type. */
        MALFORMED,
        /** An object breaks off before its end. */
        TRUNCATED,
        /** An object is longer than the limit, or there would be too many endpoints. */
        TOO_LARGE,
        /** There is none or more than one list where one is expected, or it names no revision. */
        INCOMPLETE,
        /** An endpoint has no identifier, or no numeric address and port. */
        INVALID_ENDPOINT,
        /** The changes are older than the endpoint list that is held. */
        STALE_REVISION
    }

    private final Reason reason;

    EndpointListFormatException(Reason reason, String message) {
        this(reason, message, null);
    }

    /** Creates an exception for a list after which there would be more endpoints than there is room for. */
    public static EndpointListFormatException tooManyEndpoints(int count, int limit) {
        return new EndpointListFormatException(Reason.TOO_LARGE, count + " endpoints, over the limit of " + limit);
    }

    EndpointListFormatException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns what is wrong with the endpoint list. */
    public Reason reason() {
        return reason;
    }
}
