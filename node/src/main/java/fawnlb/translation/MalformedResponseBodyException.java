package fawnlb.translation;

import java.io.IOException;

/** A backend's response violates its dialect, ends before its final event or exceeds a size limit. */
public final class MalformedResponseBodyException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the message says what is wrong and reaches the log alone. */
    public MalformedResponseBodyException(String message) {
        super(message);
    }
}
