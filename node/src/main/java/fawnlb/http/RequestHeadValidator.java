package fawnlb.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;

/** What both sides ask of a message's head. Undertow reads a request's; it takes more than a careful reader should. */
public final class RequestHeadValidator {
    private RequestHeadValidator() {}

    /** What is wrong with a request's head, null if nothing is: then its length can be trusted. */
    public static String findFault(HttpServerExchange exchange) {
        if (!exchange.isHttp11()) {
            // HTTP/1.0 has no chunks: a stream that was cut off would look whole.
            return "only HTTP/1.1 is spoken here";
        }
        for (HeaderValues header : exchange.getRequestHeaders()) {
            if (!isToken(header.getHeaderName().toString())) {
                return "a header's name is not a token";
            }
            for (String value : header) {
                if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 0x7f)) {
                    return "a header's value holds control characters";
                }
            }
        }
        return findFramingFault(
                exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING),
                exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH));
    }

    /**
     * A header's one value, null if it is missing.
     *
     * @throws IllegalArgumentException if it is given more than once: a backend might believe the other
     */
    public static String singleHeader(HttpServerExchange exchange, String name) {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        if (values != null && values.size() > 1) {
            throw new IllegalArgumentException(name + " is given more than once");
        }
        return values == null ? null : values.getFirst();
    }

    /** A request with both, or with two, may hide another in its body. */
    private static String findFramingFault(HeaderValues transferEncoding, HeaderValues contentLength) {
        if (transferEncoding != null
                && (contentLength != null
                        || transferEncoding.size() > 1
                        || !transferEncoding.getFirst().equalsIgnoreCase("chunked"))) {
            return "Transfer-Encoding: only 'chunked' is read, and alone";
        }
        if (contentLength == null) {
            return null;
        }
        try {
            BodyFraming.parseContentLength(contentLength.getFirst());
            return contentLength.size() > 1 ? "more than one Content-Length" : null;
        } catch (IOException e) {
            return "Content-Length: " + e.getMessage();
        }
    }

    /** Whether the name is one that a header can have. */
    static boolean isToken(String name) {
        return !name.isEmpty()
                && name.chars().allMatch(c -> c > ' ' && c < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
    }

    /** Whether the header decides where the message ends. */
    static boolean isFramingHeader(String name) {
        return name.equals("content-length") || name.equals("transfer-encoding");
    }
}
