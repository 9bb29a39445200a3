package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The content of one message, of a request as of a response: of a given length, in chunks, or all up to the
 * connection's end. It takes the bytes that belong to it and leaves those that follow. Whatever can't be read is an
 * error: two readers that guess differently at where a message ends see different requests in it.
 */
final class BodyFraming {
    /** A chunk's size with its extensions, or all trailers. */
    private static final int MAX_FRAMING_BYTES = 4096;

    private static final int MAX_LENGTH_DIGITS = 15;

    private enum State {
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        COMPLETE
    }

    private final LineReader lines = new LineReader(MAX_FRAMING_BYTES, true);
    private final long maxChunkBytes;
    private State state;
    private long remainingBytes;

    private BodyFraming(State state, long remainingBytes, long maxChunkBytes) {
        this.state = state;
        this.remainingBytes = remainingBytes;
        this.maxChunkBytes = maxChunkBytes;
    }

    static BodyFraming fixedLength(long lengthBytes) {
        return new BodyFraming(lengthBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH, lengthBytes, 0);
    }

    /** Largest: a chunk said to be larger is an error, before any of it is taken. */
    static BodyFraming chunked(long maxChunkBytes) {
        return new BodyFraming(State.CHUNK_SIZE, 0, maxChunkBytes);
    }

    static BodyFraming untilClose() {
        return new BodyFraming(State.UNTIL_CLOSE, Long.MAX_VALUE, 0);
    }

    /** A length as {@code BodyFraming-Length} gives it: digits alone. */
    static long parseContentLength(String text) throws IOException {
        return parseLength(text, 10);
    }

    /** Reads on: what the content holds goes to {@code output}, as long as there is room. */
    void decode(ByteBuffer input, ByteBuffer output) throws IOException {
        while (state != State.COMPLETE && input.hasRemaining()) {
            switch (state) {
                case FIXED_LENGTH, CHUNK_DATA, UNTIL_CLOSE -> {
                    if (!output.hasRemaining()) {
                        return;
                    }
                    copyContent(input, output);
                }
                default -> {
                    String line = lines.readLine(input);
                    if (line != null) {
                        onLine(line);
                    } else if (state == State.CHUNK_END
                            && !"\r".startsWith(lines.partialLine().toString())) {
                        throw new IOException("chunk longer than its size");
                    }
                }
            }
        }
    }

    /** The other side sent its last byte: true if the content is whole. */
    boolean onEndOfInput() {
        if (state == State.UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
        return isComplete();
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    private void copyContent(ByteBuffer input, ByteBuffer output) {
        int count = (int) Math.min(Math.min(input.remaining(), output.remaining()), remainingBytes);
        int inputLimit = input.limit();
        output.put(input.limit(input.position() + count));
        input.limit(inputLimit);
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = state == State.FIXED_LENGTH ? State.COMPLETE : State.CHUNK_END;
        }
    }

    private void onLine(String line) throws IOException {
        switch (state) {
            case CHUNK_SIZE -> {
                int extensionStart = line.indexOf(';');
                remainingBytes = parseLength(
                        extensionStart < 0
                                ? line
                                : line.substring(0, extensionStart).stripTrailing(),
                        16);
                if (remainingBytes > maxChunkBytes) {
                    throw new IOException("chunk of " + remainingBytes + " bytes");
                }
                state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
                lines.resetLimit();
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new IOException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
                lines.resetLimit();
            }
            default -> state = line.isEmpty() ? State.COMPLETE : state;
        }
    }

    private static long parseLength(String text, int radix) throws IOException {
        boolean isPlainNumber = !text.isEmpty()
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(c -> c < 0x80 && Character.digit(c, radix) >= 0);
        if (!isPlainNumber) {
            throw new IOException("not a length: '" + text.substring(0, Math.min(40, text.length())) + "'");
        }
        return Long.parseLong(text, radix);
    }
}
