package fawnlb.discovery;

import fawnlb.discovery.EndpointListFormatException.Reason;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a response of discovery into its events, from chunks of any size. A JSON object may stand on one line or be
 * indented over many. A blank line between two objects is a heartbeat; one within an object shows that the rest of the
 * object was lost.
 */
final class WatchEventReader {
    private static final WatchEvent HEARTBEAT = new WatchEvent.Heartbeat();

    private final int maxObjectBytes;
    private ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineIsBlank = true;
    private boolean hasAdvanced;

    /** Creates a reader that rejects objects of more bytes. */
    WatchEventReader(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /**
     * Takes the next chunk.
     *
     * @return the events that end within it, in their order
     * @throws EndpointListFormatException if the chunk has anything but objects and blank lines, or an object that
     *     breaks off or is too long; the reader is of no use then
     */
    List<WatchEvent> read(ByteBuffer bytes) throws EndpointListFormatException {
        List<WatchEvent> events = new ArrayList<>();
        hasAdvanced = false;
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                onLineEnd(events);
            } else if (depth == 0) {
                readBetweenObjects(next);
            } else {
                readWithinObject(next, events);
            }
        }
        return events;
    }

    /** Whether the latest chunk has begun an object, or has ended one or a part of one such as a list's member. */
    boolean hasAdvanced() {
        return hasAdvanced;
    }

    /** Whether an object has begun and not ended. */
    boolean isWithinObject() {
        return depth > 0;
    }

    private void onLineEnd(List<WatchEvent> events) throws EndpointListFormatException {
        if (inString || depth > 0 && lineIsBlank) {
            throw new EndpointListFormatException(Reason.TRUNCATED, "an object that breaks off");
        }
        if (depth == 0 && lineIsBlank) {
            events.add(HEARTBEAT);
        }
        lineIsBlank = true;
    }

    private void readBetweenObjects(byte next) throws EndpointListFormatException {
        if (isBlank(next)) {
            return;
        }
        if (next != '{') {
            throw new EndpointListFormatException(Reason.MALFORMED, "expected an object");
        }
        lineIsBlank = false;
        hasAdvanced = true;
        depth = 1;
        object.reset();
        object.write(next);
    }

    private void readWithinObject(byte next, List<WatchEvent> events) throws EndpointListFormatException {
        if (object.size() >= maxObjectBytes) {
            throw new EndpointListFormatException(Reason.TOO_LARGE, "object longer than " + maxObjectBytes + " bytes");
        }
        object.write(next);
        lineIsBlank &= isBlank(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            endNested(events);
        }
    }

    private void endNested(List<WatchEvent> events) {
        hasAdvanced = true;
        depth--;
        if (depth == 0) {
            events.add(new WatchEvent.JsonObject(object.toString(StandardCharsets.UTF_8)));
            // A whole list may be large, and the changes that follow it are small.
            object = new ByteArrayOutputStream();
        }
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
