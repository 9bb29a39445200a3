package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Cuts bytes into lines, and no more bytes than a limit for all lines together. */
final class Lines {
    private final int most;
    private final boolean strict;
    private final StringBuilder line = new StringBuilder();
    private int taken;

    /** Strict: a line ends with CR and LF, and a lone LF is an error. RFC 9112 lets heads alone do without the CR. */
    Lines(int most, boolean strict) {
        this.most = most;
        this.strict = strict;
    }

    /** The next line without its end, null if it is not all there yet. */
    String next(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (++taken > most) {
                throw new IOException("longer than " + most + " bytes");
            }
            if (c == '\n') {
                boolean cr = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
                if (strict && !cr) {
                    throw new IOException("a line that ends without CR");
                }
                String text = line.substring(0, line.length() - (cr ? 1 : 0));
                line.setLength(0);
                return text;
            }
            line.append(c);
        }
        return null;
    }

    /** What has come of a line whose end has not. */
    CharSequence begun() {
        return line;
    }

    /** From here on the limit counts anew. */
    void restart() {
        taken = 0;
    }
}
