package fawnlb.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Deque;

/**
 * Checks request heads more strictly than Undertow, which parses them. A request that two parsers could understand
 * differently is rejected, because a backend might see another request in it than the load balancer does.
 */
public final class RequestHeadValidator {
    /** As many as Undertow is set to accept in a query; it has no limit for those of a path. */
    public static final int MAX_PARAMETERS = 64;

    private static final char DELETE_CHARACTER = 0x7f;
    /** The characters besides letters and digits that RFC 9110 doesn't allow in a token. */
    private static final String DELIMITERS = "\"(),/:;<=>?@[\\]{}";

    private RequestHeadValidator() {}

    /**
     * Checks version, header names, header values and body framing. If it returns, the exchange's content length and
     * transfer encoding can be trusted.
     *
     * @throws InvalidRequestException with status 400 if the head must not be accepted
     */
    public static void validate(HttpServerExchange exchange) throws InvalidRequestException {
        if (!exchange.isHttp11()) {
            // HTTP/1.0 has no chunks, so a truncated stream would look complete to the client.
            throw badRequest(InvalidRequestException.HEAD, "only HTTP/1.1 is spoken here");
        }
        if (countPathParameters(exchange) > MAX_PARAMETERS) {
            throw badRequest(InvalidRequestException.HEAD, "the path has too many parameters");
        }
        for (HeaderValues header : exchange.getRequestHeaders()) {
            validateHeader(header);
        }
        validateFraming(
                exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING),
                exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH));
    }

    /**
     * Returns a header's only value, or null if the request doesn't have the header.
     *
     * @throws InvalidRequestException with status 400 if the header is given more than once, since a backend might
     *     choose another of its values
     */
    public static String singleHeader(HttpServerExchange exchange, String name) throws InvalidRequestException {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        if (values != null && values.size() > 1) {
            throw badRequest(name, name + " is given more than once");
        }
        return values == null ? null : values.getFirst();
    }

    private static int countPathParameters(HttpServerExchange exchange) {
        int count = 0;
        for (Deque<String> values : exchange.getPathParameters().values()) {
            count += values.size();
        }
        return count;
    }

    private static void validateHeader(HeaderValues header) throws InvalidRequestException {
        String name = header.getHeaderName().toString();
        if (!isToken(name)) {
            throw badRequest(InvalidRequestException.HEAD, "a header's name is not a token");
        }
        for (String value : header) {
            if (value.chars().anyMatch(RequestHeadValidator::isForbiddenControl)) {
                throw badRequest(name, "a header's value holds control characters");
            }
        }
    }

    private static boolean isForbiddenControl(int character) {
        return character < ' ' && character != '\t' || character == DELETE_CHARACTER;
    }

    /** Rejects a request with two framing headers, which may hide another request in its body (request smuggling). */
    private static void validateFraming(HeaderValues transferEncoding, HeaderValues contentLength)
            throws InvalidRequestException {
        if (transferEncoding != null
                && (contentLength != null
                        || transferEncoding.size() > 1
                        || !transferEncoding.getFirst().equalsIgnoreCase("chunked"))) {
            throw badRequest(Headers.TRANSFER_ENCODING_STRING, "Transfer-Encoding: only 'chunked' is read, and alone");
        }
        if (contentLength != null) {
            validateContentLength(contentLength);
        }
    }

    private static void validateContentLength(HeaderValues contentLength) throws InvalidRequestException {
        try {
            BodyFraming.parseContentLength(contentLength.getFirst());
        } catch (MalformedMessageException e) {
            throw new InvalidRequestException(
                    StatusCodes.BAD_REQUEST, Headers.CONTENT_LENGTH_STRING, "Content-Length: " + e.getMessage(), e);
        }
        if (contentLength.size() > 1) {
            throw badRequest(Headers.CONTENT_LENGTH_STRING, "more than one Content-Length");
        }
    }

    private static InvalidRequestException badRequest(String field, String detail) {
        return new InvalidRequestException(StatusCodes.BAD_REQUEST, field, detail);
    }

    /** Whether the name is a token as RFC 9110 defines it, and so can be the name of a header. */
    static boolean isToken(String name) {
        return !name.isEmpty()
                && name.chars().allMatch(c -> c > ' ' && c < DELETE_CHARACTER && DELIMITERS.indexOf(c) < 0);
    }

    /** Whether the header, given in lower case, decides where the message ends. */
    static boolean isFramingHeader(String name) {
        return name.equals("content-length") || name.equals("transfer-encoding");
    }
}
