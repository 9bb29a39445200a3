package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one HTTP/1.1 response from pieces of any size. Undertow's own client is not used for this: it can't
 * take back a connect that never comes up, and each such connect to a vanished engine would hold a
 * descriptor for minutes.
 */
final class ResponseParser {
    private static final int LONGEST_LINE = 8192;
    private static final int MOST_HEADERS = 100;

    private enum State { STATUS, HEADER, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, TO_CLOSE, DONE }

    private State state = State.STATUS;
    private final StringBuilder line = new StringBuilder();
    private int status;
    private boolean keepAlive;
    private Map<String, String> headers = new HashMap<>();
    private long left;
    private Response head;

    /** Reads on: body bytes go to {@code body}, which has room for all of {@code in}. */
    void feed(ByteBuffer in, ByteBuffer body) throws IOException {
        while (in.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED, CHUNK, TO_CLOSE -> take(in, body);
                default -> {
                    String text = line(in);
                    if (text != null) {
                        line(text);
                    }
                }
            }
        }
        if (state == State.DONE && in.hasRemaining()) {
            throw new IOException("bytes after the response");
        }
    }

    /** The other side sent its last byte: true if the response is whole. */
    boolean eof() {
        if (state == State.TO_CLOSE) {
            state = State.DONE;
        }
        return done();
    }

    boolean done() {
        return state == State.DONE;
    }

    /** Status and headers, once read; else null. */
    Response head() {
        return head;
    }

    private void take(ByteBuffer in, ByteBuffer body) {
        int n = (int) Math.min(in.remaining(), state == State.TO_CLOSE ? Long.MAX_VALUE : left);
        int end = in.limit();
        body.put(in.limit(in.position() + n));
        in.limit(end);
        left -= n;
        if (state != State.TO_CLOSE && left == 0) {
            state = state == State.FIXED ? State.DONE : State.CHUNK_END;
        }
    }

    private String line(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (c == '\n') {
                boolean cr = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
                String text = line.substring(0, line.length() - (cr ? 1 : 0));
                line.setLength(0);
                return text;
            }
            if (line.length() >= LONGEST_LINE) {
                throw new IOException("line of a response too long");
            }
            line.append(c);
        }
        return null;
    }

    private void line(String text) throws IOException {
        switch (state) {
            case STATUS -> status(text);
            case HEADER -> header(text);
            case CHUNK_SIZE -> {
                int end = text.indexOf(';');
                left = number((end < 0 ? text : text.substring(0, end)).trim(), 16);
                state = left == 0 ? State.TRAILER : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new IOException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> state = text.isEmpty() ? State.DONE : state;
        }
    }

    private void status(String text) throws IOException {
        if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("not a status line: " + text.substring(0, Math.min(40, text.length())));
        }
        keepAlive = text.startsWith("HTTP/1.1");
        status = Integer.parseInt(text.substring(9, 12));
        state = State.HEADER;
    }

    private void header(String text) throws IOException {
        if (!text.isEmpty()) {
            int colon = text.indexOf(':');
            if (colon <= 0 || headers.size() >= MOST_HEADERS) {
                throw new IOException("bad header");
            }
            headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
            return;
        }
        if (status < 200) {
            headers = new HashMap<>();
            state = State.STATUS;
            return;
        }
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        keepAlive = keepAlive ? !connection.contains("close") : connection.contains("keep-alive");
        String length = headers.get("content-length");
        if (headers.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).endsWith("chunked")) {
            state = State.CHUNK_SIZE;
        } else if (status == 204 || status == 304) {
            state = State.DONE;
        } else if (length != null) {
            left = number(length, 10);
            state = left == 0 ? State.DONE : State.FIXED;
        } else {
            keepAlive = false;
            state = State.TO_CLOSE;
        }
        head = new Response(status, headers, keepAlive);
    }

    private static long number(String text, int radix) throws IOException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && text.charAt(0) != '+') {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, like a negative one.
        }
        throw new IOException("not a length: " + text);
    }
}
