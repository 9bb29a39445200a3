package fawnlb.http;

/**
 * Bytes that can't be parsed as HTTP/1.1, in a request body or in a response. The callers that know the direction turn
 * it into an {@link InvalidRequestException} or a {@link MalformedResponseException}.
 */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String detail) {
        super(detail);
    }
}
