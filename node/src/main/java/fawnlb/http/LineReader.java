package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Cuts bytes into lines, and no more bytes than a limit for all lines together. */
final class LineReader {
    private final int maxTotalBytes;
    private final boolean requireCrlf;
    private final StringBuilder line = new StringBuilder();
    private int totalBytes;

    /** Strict: a line ends with CR and LF, and a lone LF is an error. RFC 9112 lets heads alone do without the CR. */
    LineReader(int maxTotalBytes, boolean requireCrlf) {
        this.maxTotalBytes = maxTotalBytes;
        this.requireCrlf = requireCrlf;
    }

    /** The next line without its end, null if it is not all there yet. */
    String readLine(ByteBuffer input) throws IOException {
        while (input.hasRemaining()) {
            char c = (char) (input.get() & 0xff);
            if (++totalBytes > maxTotalBytes) {
                throw new IOException("longer than " + maxTotalBytes + " bytes");
            }
            if (c == '\n') {
                boolean endsWithCr = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
                if (requireCrlf && !endsWithCr) {
                    throw new IOException("a line that ends without CR");
                }
                String text = line.substring(0, line.length() - (endsWithCr ? 1 : 0));
                line.setLength(0);
                return text;
            }
            line.append(c);
        }
        return null;
    }

    /** What has come of a line whose end has not. */
    CharSequence partialLine() {
        return line;
    }

    /** From here on the limit counts anew. */
    void resetLimit() {
        totalBytes = 0;
    }
}
