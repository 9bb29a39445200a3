package fawnlb.metrics;

/**
 * Builds the text of one log line: the event in plain words, then {@code key=value} pairs.
 *
 * <pre>
 * LOG.warning(LogLine.event("attempt failed").requestId(id).backend(address).attempt(0).reason("connect refused").toString());
 * // attempt failed request_id=r1 backend=10.0.0.7:8000 attempt=0 reason="connect refused"
 * </pre>
 *
 * <p>A value that is empty or has a space, a control character, an equals sign, a quote or a backslash is quoted, so
 * that text from outside can neither end its line nor look like another pair. A pair whose value is {@code null} is
 * left out.
 *
 * <p>An instance belongs to the thread that created it. For levels that are usually off, build the line in a supplier:
 * {@code LOG.fine(() -> LogLine.event(...).toString())}.
 */
public final class LogLine {
    /** The id that the client gave its request in {@code X-Request-Id}. */
    public static final String REQUEST_ID = "request_id";
    /** The backend's address, or its id where the address is not known. */
    public static final String BACKEND = "backend";
    /** The number of the attempt within its request, from 0. */
    public static final String ATTEMPT = "attempt";
    /** Why the event happened. */
    public static final String REASON = "reason";
    /** How long the event took, in whole milliseconds. */
    public static final String ELAPSED_MS = "elapsed_ms";

    private static final int INITIAL_CAPACITY = 128;
    private static final int MAX_ID_CHARS = 100;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char DELETE = 0x7f;
    private static final String HEX_DIGITS = "0123456789abcdef";

    private final StringBuilder text = new StringBuilder(INITIAL_CAPACITY);

    private LogLine(String event) {
        text.append(event);
    }

    /**
     * Starts a line.
     *
     * @param event what happened, a constant in plain words without an equals sign
     */
    public static LogLine event(String event) {
        return new LogLine(event);
    }

    /** Adds the id that the client gave its request; {@code null} adds nothing. */
    public LogLine requestId(String id) {
        return with(REQUEST_ID, id);
    }

    /** Adds a backend by its address, or its id; {@code null} adds nothing. */
    public LogLine backend(String addressOrId) {
        return withId(BACKEND, addressOrId);
    }

    /** Adds the number of an attempt, from 0. */
    public LogLine attempt(int number) {
        return with(ATTEMPT, number);
    }

    /** Adds the reason; {@code null} adds nothing. */
    public LogLine reason(String reason) {
        return with(REASON, reason);
    }

    /** Adds a duration, given in nanoseconds and written in whole milliseconds. */
    public LogLine elapsedNanos(long nanos) {
        return with(ELAPSED_MS, nanos / NANOS_PER_MILLISECOND);
    }

    /**
     * Adds an id that comes from outside and may have any length: what is beyond {@value #MAX_ID_CHARS} characters is
     * left out. {@code null} adds nothing.
     */
    public LogLine withId(String key, String id) {
        return with(key, id == null || id.length() <= MAX_ID_CHARS ? id : id.substring(0, MAX_ID_CHARS) + "...");
    }

    /** Adds any other pair; a {@code null} value adds nothing. */
    public LogLine with(String key, String value) {
        if (value == null) {
            return this;
        }
        appendKey(key);
        if (needsQuotes(value)) {
            appendQuoted(value);
        } else {
            text.append(value);
        }
        return this;
    }

    /** Adds any other pair with a whole number. */
    public LogLine with(String key, long value) {
        appendKey(key).append(value);
        return this;
    }

    /** Returns the line so far. */
    @Override
    public String toString() {
        return text.toString();
    }

    private StringBuilder appendKey(String key) {
        return text.append(' ').append(key).append('=');
    }

    private static boolean needsQuotes(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= FIRST_PRINTABLE || c == DELETE || c == '=' || c == '"' || c == '\\') {
                return true;
            }
        }
        return value.isEmpty();
    }

    private void appendQuoted(String value) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        text.append('"');
    }

    private void appendEscaped(char c) {
        switch (c) {
            case '"', '\\' -> text.append('\\').append(c);
            case '\n' -> text.append("\\n");
            case '\r' -> text.append("\\r");
            case '\t' -> text.append("\\t");
            default -> {
                if (c < FIRST_PRINTABLE || c == DELETE) {
                    text.append("\\u00").append(HEX_DIGITS.charAt(c >> 4)).append(HEX_DIGITS.charAt(c & 0xf));
                } else {
                    text.append(c);
                }
            }
        }
    }
}
