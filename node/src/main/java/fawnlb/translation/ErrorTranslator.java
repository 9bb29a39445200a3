package fawnlb.translation;

import java.nio.ByteBuffer;

/**
 * Translates a backend's error response, at its end; the client gets the backend's message under the type for its
 * status.
 */
final class ErrorTranslator extends WholeBodyTranslator {
    private static final String DEFAULT_MESSAGE = "the target refused the request";

    private final Dialect clientDialect;
    private final int status;

    ErrorTranslator(Dialect clientDialect, int status) {
        this.clientDialect = clientDialect;
        this.status = status;
    }

    @Override
    public ByteBuffer finish() {
        return utf8(ErrorBody.json(clientDialect, status, message()));
    }

    private String message() {
        try {
            return FlatJson.parse(bodyBytes()).text("error.message", DEFAULT_MESSAGE);
        } catch (MalformedJsonException e) {
            return DEFAULT_MESSAGE;
        }
    }
}
