package fawnlb.translation;

import java.io.IOException;

/** A document is not exactly one JSON object, or exceeds the limits on depth, length of names and number of values. */
final class MalformedJsonException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedJsonException(String message) {
        super(message);
    }

    MalformedJsonException(String message, IOException cause) {
        super(message, cause);
    }
}
