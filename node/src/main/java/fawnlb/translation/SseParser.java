package fawnlb.translation;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads server-sent events from pieces of any size: CR, LF or CRLF, comments, data over several lines. */
final class SseParser {
    static final int MAX_EVENT_BYTES = 256 * 1024;

    /** An event: its name, empty if it has none, and its data lines joined with line feeds. */
    record Event(String name, String data) {}

    private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
    private boolean skipLineFeed;
    private String eventName = "";
    private StringBuilder eventData;
    private int eventBytes;

    List<Event> feed(ByteBuffer bytes) throws IOException {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n' && skipLineFeed) {
                skipLineFeed = false;
                continue;
            }
            skipLineFeed = b == '\r';
            if (b == '\n' || b == '\r') {
                processLine(currentLine.toString(StandardCharsets.UTF_8), events);
                currentLine.reset();
            } else {
                currentLine.write(b);
                if (++eventBytes > MAX_EVENT_BYTES) {
                    throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
                }
            }
        }
        return events;
    }

    /** Bytes of the event that has begun. */
    int bufferedBytes() {
        return eventBytes;
    }

    private void processLine(String text, List<Event> events) {
        if (text.isEmpty()) {
            if (eventData != null) {
                events.add(new Event(eventName, eventData.toString()));
            }
            eventName = "";
            eventData = null;
            eventBytes = 0;
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + (text.startsWith(": ", colon) ? 2 : 1));
        if (field.equals("event")) {
            eventName = value;
        } else if (field.equals("data")) {
            eventData = eventData == null
                    ? new StringBuilder(value)
                    : eventData.append('\n').append(value);
        }
    }
}
