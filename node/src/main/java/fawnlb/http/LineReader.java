package fawnlb.http;

import java.nio.ByteBuffer;

/** Splits bytes into lines, and limits the number of bytes of all lines together. Keeps partial lines between calls. */
final class LineReader {
    private final int maxTotalBytes;
    private final boolean requireCrlf;
    private final StringBuilder line = new StringBuilder();
    private int totalBytes;

    private LineReader(int maxTotalBytes, boolean requireCrlf) {
        this.maxTotalBytes = maxTotalBytes;
        this.requireCrlf = requireCrlf;
    }

    /** A reader of lines that end with CR and LF. A lone LF is an error. */
    static LineReader requiringCrlf(int maxTotalBytes) {
        return new LineReader(maxTotalBytes, true);
    }

    /** A reader of lines that end with LF, with or without a CR before it. RFC 9112 allows that in heads alone. */
    static LineReader allowingBareLf(int maxTotalBytes) {
        return new LineReader(maxTotalBytes, false);
    }

    /**
     * Returns the next line without its end, or null if the input ends before the line does.
     *
     * @throws MalformedMessageException if a line ends without the required CR, or the lines exceed the limit
     */
    String readLine(ByteBuffer input) throws MalformedMessageException {
        while (input.hasRemaining()) {
            char c = (char) (input.get() & 0xff);
            if (++totalBytes > maxTotalBytes) {
                throw new MalformedMessageException("longer than " + maxTotalBytes + " bytes");
            }
            if (c == '\n') {
                return finishLine();
            }
            line.append(c);
        }
        return null;
    }

    private String finishLine() throws MalformedMessageException {
        boolean endsWithCr = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
        if (requireCrlf && !endsWithCr) {
            throw new MalformedMessageException("a line that ends without CR");
        }
        String text = line.substring(0, line.length() - (endsWithCr ? 1 : 0));
        line.setLength(0);
        return text;
    }

    /** The bytes so far of a line whose end has not been read. */
    CharSequence partialLine() {
        return line;
    }

    /** Starts to count the limit's bytes anew. */
    void resetLimit() {
        totalBytes = 0;
    }
}
