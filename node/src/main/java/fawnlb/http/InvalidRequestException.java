package fawnlb.http;

/**
 * A request that breaks the protocol and must be answered with an error. The client, not the load balancer, has to
 * change something.
 */
public final class InvalidRequestException extends Exception {
    /** The {@link #field} of a fault in the request's body. */
    public static final String BODY = "body";

    /** The {@link #field} of a fault in the request line or in the header section as a whole. */
    public static final String HEAD = "head";

    private static final long serialVersionUID = 1;

    private final int status;
    private final String field;

    /**
     * Creates an exception without a cause.
     *
     * @param status the status of the error response, 4xx
     * @param field the name of the header that is wrong, {@link #BODY} or {@link #HEAD}
     * @param detail what is wrong, as the client reads it
     */
    public InvalidRequestException(int status, String field, String detail) {
        this(status, field, detail, null);
    }

    /** Creates an exception for a fault that a parser reported. */
    public InvalidRequestException(int status, String field, String detail, Throwable cause) {
        super(detail, cause);
        this.status = status;
        this.field = field;
    }

    /** The status of the error response. */
    public int status() {
        return status;
    }

    /** The name of the header that is wrong, {@link #BODY} or {@link #HEAD}. */
    public String field() {
        return field;
    }
}
