package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses server-sent events from byte chunks of any size. Lines end with CR, LF or CRLF; comments and fields other than
 * {@code event} and {@code data} are skipped.
 */
final class SseParser {
    /** The largest size of one event; it limits what a backend can make this process buffer. */
    static final int MAX_EVENT_BYTES = 256 * 1024;
    /** A line's buffer may be twice as large as the line, and the data are kept as text, in a buffer that grows too. */
    private static final int HEAP_BYTES_PER_BYTE = 4;
    /** A longer line's buffer is dropped with the line. */
    private static final int MAX_KEPT_BUFFER_BYTES = 4096;

    /**
     * A complete event.
     *
     * @param name the event's name, empty if it has none
     * @param data its data lines, joined with line feeds
     */
    record Event(String name, String data) {}

    /** The name that an event without a name has by the grammar. */
    static final String DEFAULT_EVENT_NAME = "message";

    private ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
    private boolean skipLineFeed;
    private String eventName = "";
    private StringBuilder eventData;
    private int eventBytes;

    /**
     * Takes the next bytes of a stream.
     *
     * @return the events that they complete
     * @throws MalformedResponseException if an event exceeds {@link #MAX_EVENT_BYTES}
     */
    List<Event> feed(ByteBuffer bytes) throws MalformedResponseBodyException {
        List<Event> completed = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            boolean secondHalfOfCrLf = skipLineFeed && next == '\n';
            skipLineFeed = next == '\r';
            if (secondHalfOfCrLf) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                processLine(currentLine.toString(StandardCharsets.UTF_8), completed);
                clearLine();
            } else {
                addToLine(next);
            }
        }
        return completed;
    }

    private void clearLine() {
        if (currentLine.size() > MAX_KEPT_BUFFER_BYTES) {
            currentLine = new ByteArrayOutputStream();
        } else {
            currentLine.reset();
        }
    }

    private void addToLine(byte next) throws MalformedResponseBodyException {
        currentLine.write(next);
        if (++eventBytes > MAX_EVENT_BYTES) {
            throw new MalformedResponseBodyException("event longer than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void processLine(String line, List<Event> completed) {
        if (line.isEmpty()) {
            completeEvent(completed);
            return;
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + (line.startsWith(": ", colon) ? 2 : 1));
        if (field.equals("event")) {
            eventName = value;
        } else if (field.equals("data")) {
            eventData = eventData == null
                    ? new StringBuilder(value)
                    : eventData.append('\n').append(value);
        }
    }

    /** An event without data is none. */
    private void completeEvent(List<Event> completed) {
        if (eventData != null) {
            completed.add(new Event(eventName, eventData.toString()));
        }
        eventName = "";
        eventData = null;
        eventBytes = 0;
    }

    /** Returns the number of bytes of the event that has begun and is not complete. */
    int bufferedBytes() {
        return eventBytes;
    }

    /** Returns the heap that these bytes hold, at the most. */
    long heapBytes() {
        return (long) HEAP_BYTES_PER_BYTE * eventBytes;
    }
}
