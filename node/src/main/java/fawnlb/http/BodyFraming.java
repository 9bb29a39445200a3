package fawnlb.http;

import java.nio.ByteBuffer;

/**
 * Decodes the body of one request or response: of a declared length, in chunks, or up to the end of the connection.
 *
 * <p>Consumes exactly the bytes that belong to the body and leaves the bytes that follow. Whatever can't be parsed is
 * an error, because two parsers that guess differently where a message ends see different messages.
 */
final class BodyFraming {
    /** The limit for the size line of one chunk with its extensions, and for all trailers together. */
    private static final int MAX_FRAMING_BYTES = 4096;
    /** Fifteen digits can't overflow a long, neither decimal nor hexadecimal ones. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int BITS_PER_HEXADECIMAL_DIGIT = 4;
    private static final int FIRST_NON_ASCII = 0x80;
    /** A size line with no more digits than this, or than the largest chunk's so far, is like any other. */
    private static final int MIN_EXPECTED_SIZE_DIGITS = 3;

    private static final String SIZE_END_CHARACTERS = "; \t\r";
    /** How much of a malformed length an error message quotes. */
    private static final int MAX_QUOTED_CHARACTERS = 40;

    private enum State {
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        COMPLETE
    }

    private final LineReader lines = LineReader.requiringCrlf(MAX_FRAMING_BYTES);
    private final long maxChunkBytes;
    private State state;
    private long remainingBytes;
    private int expectedSizeDigits = MIN_EXPECTED_SIZE_DIGITS;
    private int wellFormedFramingBytes;

    private BodyFraming(State state, long remainingBytes, long maxChunkBytes) {
        this.state = state;
        this.remainingBytes = remainingBytes;
        this.maxChunkBytes = maxChunkBytes;
    }

    /** The framing of a body whose length the head declares. */
    static BodyFraming fixedLength(long lengthBytes) {
        return new BodyFraming(lengthBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH, lengthBytes, 0);
    }

    /** The framing of a body in chunks. A chunk that declares more bytes is an error before any of it is copied. */
    static BodyFraming chunked(long maxChunkBytes) {
        return new BodyFraming(State.CHUNK_SIZE, 0, maxChunkBytes);
    }

    /** The framing of a response body that ends with its connection. */
    static BodyFraming untilClose() {
        return new BodyFraming(State.UNTIL_CLOSE, Long.MAX_VALUE, 0);
    }

    /** Parses the value of {@code Content-Length}, which consists of digits alone. */
    static long parseContentLength(String text) throws MalformedMessageException {
        return parseLength(text, DECIMAL);
    }

    /**
     * Decodes input until the input is used up, the body is complete or the output is full.
     *
     * @throws MalformedMessageException if the framing can't be parsed
     */
    void decode(ByteBuffer input, ByteBuffer output) throws MalformedMessageException {
        wellFormedFramingBytes = 0;
        while (state != State.COMPLETE && input.hasRemaining()) {
            switch (state) {
                case FIXED_LENGTH, CHUNK_DATA, UNTIL_CLOSE -> {
                    if (!output.hasRemaining()) {
                        return;
                    }
                    copyContent(input, output);
                }
                default -> readFramingLine(input);
            }
        }
    }

    /** Must be called when the connection has ended. Returns whether the body is complete. */
    boolean onEndOfInput() {
        if (state == State.UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
        return isComplete();
    }

    /** Whether the last byte of the body has been decoded. */
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

    /**
     * How many bytes of the latest input were part of a size line without extension and with no more digits than other
     * chunks have, or of a line end. A message that is written slowly consists of these and its content alone.
     */
    int wellFormedFramingBytes() {
        return wellFormedFramingBytes;
    }

    private void readFramingLine(ByteBuffer input) throws MalformedMessageException {
        int start = input.position();
        String line = lines.readLine(input);
        String readSoFar = line == null ? lines.partialLine().toString() : line;
        if (isExpected(readSoFar)) {
            wellFormedFramingBytes += input.position() - start;
        }
        if (line != null) {
            onLine(line);
        } else {
            checkPartialLine(readSoFar);
        }
    }

    private boolean isExpected(String line) {
        String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        int maxLength = state == State.CHUNK_SIZE ? expectedSizeDigits : 0;
        return text.length() <= maxLength && countDigits(text) == text.length();
    }

    private static int countDigits(String text) {
        int count = 0;
        while (count < text.length() && isDigit(text.charAt(count), HEXADECIMAL)) {
            count++;
        }
        return count;
    }

    /** Rejects as soon as possible what no end of the line can make right: it may never come. */
    private void checkPartialLine(String partialLine) throws MalformedMessageException {
        if (state == State.CHUNK_END && !"\r".startsWith(partialLine)) {
            throw chunkTooLong();
        }
        if (state == State.CHUNK_SIZE) {
            checkPartialSize(partialLine);
        }
    }

    private void checkPartialSize(String partialLine) throws MalformedMessageException {
        int digits = countDigits(partialLine);
        boolean hasOtherCharacter = digits < partialLine.length();
        if (hasOtherCharacter && SIZE_END_CHARACTERS.indexOf(partialLine.charAt(digits)) < 0) {
            throw notALength(partialLine);
        }
        checkChunkSize(parseLength(partialLine.substring(0, digits), HEXADECIMAL));
    }

    private void onLine(String line) throws MalformedMessageException {
        switch (state) {
            case CHUNK_SIZE -> {
                int extensionStart = line.indexOf(';');
                String size = extensionStart < 0
                        ? line
                        : line.substring(0, extensionStart).stripTrailing();
                beginChunk(parseLength(size, HEXADECIMAL));
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw chunkTooLong();
                }
                state = State.CHUNK_SIZE;
                lines.resetLimit();
            }
            default -> state = line.isEmpty() ? State.COMPLETE : state;
        }
    }

    private void beginChunk(long sizeBytes) throws MalformedMessageException {
        checkChunkSize(sizeBytes);
        remainingBytes = sizeBytes;
        expectedSizeDigits = Math.max(expectedSizeDigits, hexadecimalDigits(sizeBytes));
        state = sizeBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
        lines.resetLimit();
    }

    private void checkChunkSize(long sizeBytes) throws MalformedMessageException {
        if (sizeBytes > maxChunkBytes) {
            throw new MalformedMessageException("chunk of " + sizeBytes + " bytes");
        }
    }

    private static int hexadecimalDigits(long value) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(value);
        return (bits + BITS_PER_HEXADECIMAL_DIGIT - 1) / BITS_PER_HEXADECIMAL_DIGIT;
    }

    private static MalformedMessageException chunkTooLong() {
        return new MalformedMessageException("chunk longer than its size");
    }

    private static long parseLength(String text, int radix) throws MalformedMessageException {
        boolean isPlainNumber = !text.isEmpty()
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(c -> isDigit((char) c, radix));
        if (!isPlainNumber) {
            throw notALength(text);
        }
        return Long.parseLong(text, radix);
    }

    private static boolean isDigit(char character, int radix) {
        return character < FIRST_NON_ASCII && Character.digit(character, radix) >= 0;
    }

    private static MalformedMessageException notALength(String text) {
        return new MalformedMessageException(
                "not a length: '" + text.substring(0, Math.min(MAX_QUOTED_CHARACTERS, text.length())) + "'");
    }
}
