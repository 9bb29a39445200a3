package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The content of one message, of a request as of a response: of a given length, in chunks, or all up to the
 * connection's end. It takes the bytes that belong to it and leaves those that follow. Whatever can't be read is an
 * error: two readers that guess differently at where a message ends see different requests in it.
 */
final class Content {
    /** A chunk's size with its extensions, or all trailers. */
    private static final int MAX_LINES_BYTES = 4096;

    private static final int MAX_DIGITS = 15;

    private enum State {
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_CLOSE,
        DONE
    }

    private final Lines lines = new Lines(MAX_LINES_BYTES, true);
    private final long largest;
    private State state;
    private long left;

    private Content(State state, long left, long largest) {
        this.state = state;
        this.left = left;
        this.largest = largest;
    }

    static Content fixed(long length) {
        return new Content(length == 0 ? State.DONE : State.FIXED, length, 0);
    }

    /** Largest: a chunk said to be larger is an error, before any of it is taken. */
    static Content chunked(long largest) {
        return new Content(State.CHUNK_SIZE, 0, largest);
    }

    static Content toClose() {
        return new Content(State.TO_CLOSE, Long.MAX_VALUE, 0);
    }

    /** A length as {@code Content-Length} gives it: digits alone. */
    static long length(String text) throws IOException {
        return number(text, 10);
    }

    /** Reads on: what the content holds goes to {@code out}, as long as there is room. */
    void feed(ByteBuffer in, ByteBuffer out) throws IOException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case FIXED, CHUNK, TO_CLOSE -> {
                    if (!out.hasRemaining()) {
                        return;
                    }
                    take(in, out);
                }
                default -> {
                    String line = lines.next(in);
                    if (line != null) {
                        line(line);
                    } else if (state == State.CHUNK_END
                            && !"\r".startsWith(lines.begun().toString())) {
                        throw new IOException("chunk longer than its size");
                    }
                }
            }
        }
    }

    /** The other side sent its last byte: true if the content is whole. */
    boolean eof() {
        if (state == State.TO_CLOSE) {
            state = State.DONE;
        }
        return done();
    }

    boolean done() {
        return state == State.DONE;
    }

    private void take(ByteBuffer in, ByteBuffer out) {
        int n = (int) Math.min(Math.min(in.remaining(), out.remaining()), left);
        int end = in.limit();
        out.put(in.limit(in.position() + n));
        in.limit(end);
        left -= n;
        if (left == 0) {
            state = state == State.FIXED ? State.DONE : State.CHUNK_END;
        }
    }

    private void line(String line) throws IOException {
        switch (state) {
            case CHUNK_SIZE -> {
                int end = line.indexOf(';');
                left = number(end < 0 ? line : line.substring(0, end).stripTrailing(), 16);
                if (left > largest) {
                    throw new IOException("chunk of " + left + " bytes");
                }
                state = left == 0 ? State.TRAILER : State.CHUNK;
                lines.restart();
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new IOException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
                lines.restart();
            }
            default -> state = line.isEmpty() ? State.DONE : state;
        }
    }

    private static long number(String text, int radix) throws IOException {
        boolean plain = !text.isEmpty()
                && text.length() <= MAX_DIGITS
                && text.chars().allMatch(c -> c < 0x80 && Character.digit(c, radix) >= 0);
        if (!plain) {
            throw new IOException("not a length: '" + text.substring(0, Math.min(40, text.length())) + "'");
        }
        return Long.parseLong(text, radix);
    }
}
