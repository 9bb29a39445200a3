package fawnlb.backend;

import fawnlb.translation.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The last bytes of a response, where a backend states how much of the prompt it had cached and how loaded it is.
 * Keeping only the end spares parsing the rest of streams that are relayed unread.
 */
final class ResponseTail {
    private static final Pattern CACHED_TOKENS =
            Pattern.compile("\"(?:cached_tokens|cache_read_input_tokens)\"\\s*:\\s*(\\d{1,9})\\D");
    private static final Pattern LOAD_REPORT = Pattern.compile("(?mi)^: *X-Load:(.*)$");

    private static final Pattern CHAT_LAST_EVENT = Pattern.compile("(?m)^data: ?\\[DONE\\]\\s*$");
    private static final Pattern MESSAGES_LAST_EVENT =
            Pattern.compile("(?m)^event: ?message_stop\\s*$|\"type\"\\s*:\\s*\"message_stop\"");

    /** The usage, the load report and the last event of either dialect together take a few hundred bytes. */
    private static final int MAX_TAIL_BYTES = 1024;

    private final byte[] lastBytes = new byte[MAX_TAIL_BYTES];
    private int size;

    /** Adds the next bytes of the response; the buffer's position stays. */
    void add(ByteBuffer chunk) {
        int added = Math.min(chunk.remaining(), lastBytes.length);
        int retained = Math.min(size, lastBytes.length - added);
        System.arraycopy(lastBytes, size - retained, lastBytes, 0, retained);
        chunk.duplicate().position(chunk.limit() - added).get(lastBytes, retained, added);
        size = retained + added;
    }

    private String text() {
        return new String(lastBytes, 0, size, StandardCharsets.ISO_8859_1);
    }

    /** Returns the prompt tokens that the backend found in its cache, 0 if it does not say. */
    long cachedTokens() {
        long cachedTokens = 0;
        for (Matcher matcher = CACHED_TOKENS.matcher(text()); matcher.find(); ) {
            cachedTokens = Long.parseLong(matcher.group(1));
        }
        return cachedTokens;
    }

    /** Returns whether the last event of a stream in this dialect is among the bytes. */
    boolean hasLastEvent(Dialect dialect) {
        return (dialect == Dialect.CHAT ? CHAT_LAST_EVENT : MESSAGES_LAST_EVENT)
                .matcher(text())
                .find();
    }

    /** Returns the last load report as text, empty if there is none. */
    String loadReport() {
        String loadReport = "";
        for (Matcher matcher = LOAD_REPORT.matcher(text()); matcher.find(); ) {
            loadReport = matcher.group(1).trim();
        }
        return loadReport;
    }
}
