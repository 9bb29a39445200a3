package fawnlb.translation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Finds the end of a stream's first event that has data, without keeping its bytes. Lines end as for an SSE parser. */
final class EventEndDetector {
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    /** The bytes of the current line so far. */
    private int lineBytes;
    /** Whether the current line begins as a data field does. */
    private boolean lineMatchesData = true;

    private boolean hasData;
    private boolean skipLineFeed;

    /** Takes the next bytes, and returns whether an event with data ends within them. Their position stays. */
    boolean endsWithin(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            byte next = bytes.get(i);
            boolean secondHalfOfCrLf = skipLineFeed && next == '\n';
            skipLineFeed = next == '\r';
            if (secondHalfOfCrLf) {
                continue;
            }
            if (next != '\n' && next != '\r') {
                addToLine(next);
            } else if (endLine()) {
                return true;
            }
        }
        return false;
    }

    /** The field's name ends with the line or with a colon. */
    private void addToLine(byte next) {
        if (lineBytes < DATA_FIELD.length) {
            lineMatchesData &= next == DATA_FIELD[lineBytes];
        } else if (lineBytes == DATA_FIELD.length) {
            lineMatchesData &= next == ':';
        }
        lineBytes++;
    }

    /** Returns whether the line was empty and has ended an event with data. */
    private boolean endLine() {
        boolean isEmpty = lineBytes == 0;
        hasData |= lineMatchesData && lineBytes >= DATA_FIELD.length;
        lineBytes = 0;
        lineMatchesData = true;
        return isEmpty && hasData;
    }
}
