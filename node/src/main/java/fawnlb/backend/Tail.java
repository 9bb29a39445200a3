package fawnlb.backend;

import fawnlb.dialect.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The last bytes of a stream, where a backend tells what it had kept of the prompt and how loaded it is. */
final class Tail {
    private static final Pattern KEPT =
            Pattern.compile("\"(?:cached_tokens|cache_read_input_tokens)\"\\s*:\\s*(\\d{1,9})\\D");
    private static final Pattern LOAD = Pattern.compile("(?mi)^: *X-Load:(.*)$");

    private static final Pattern DONE = Pattern.compile("(?m)^data: ?\\[DONE\\]\\s*$");
    private static final Pattern STOP =
            Pattern.compile("(?m)^event: ?message_stop\\s*$|\"type\"\\s*:\\s*\"message_stop\"");

    private final byte[] bytes = new byte[1024];
    private int size;

    /** Adds a piece without reading it up. */
    void add(ByteBuffer piece) {
        int take = Math.min(piece.remaining(), bytes.length);
        int stay = Math.min(size, bytes.length - take);
        System.arraycopy(bytes, size - stay, bytes, 0, stay);
        piece.duplicate().position(piece.limit() - take).get(bytes, stay, take);
        size = stay + take;
    }

    private String text() {
        return new String(bytes, 0, size, StandardCharsets.ISO_8859_1);
    }

    /** Prompt tokens that the backend still held, 0 if it does not say. */
    long kept() {
        long kept = 0;
        for (Matcher matcher = KEPT.matcher(text()); matcher.find(); ) {
            kept = Long.parseLong(matcher.group(1));
        }
        return kept;
    }

    /** Whether the last event of a streamed answer is among them. */
    boolean finished(Dialect dialect) {
        return (dialect == Dialect.CHAT ? DONE : STOP).matcher(text()).find();
    }

    /** The load report, empty if there is none. */
    String load() {
        String load = "";
        for (Matcher matcher = LOAD.matcher(text()); matcher.find(); ) {
            load = matcher.group(1).trim();
        }
        return load;
    }
}
