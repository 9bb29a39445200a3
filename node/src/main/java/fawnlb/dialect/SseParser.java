package fawnlb.dialect;

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

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean afterCr;
    private String name = "";
    private StringBuilder data;
    private int size;

    List<Event> feed(ByteBuffer bytes) throws IOException {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n' && afterCr) {
                afterCr = false;
                continue;
            }
            afterCr = b == '\r';
            if (b == '\n' || b == '\r') {
                line(line.toString(StandardCharsets.UTF_8), events);
                line.reset();
            } else {
                line.write(b);
                if (++size > MAX_EVENT_BYTES) {
                    throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
                }
            }
        }
        return events;
    }

    /** Bytes of the event that has begun. */
    int buffered() {
        return size;
    }

    private void line(String text, List<Event> events) {
        if (text.isEmpty()) {
            if (data != null) {
                events.add(new Event(name, data.toString()));
            }
            name = "";
            data = null;
            size = 0;
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + (text.startsWith(": ", colon) ? 2 : 1));
        if (field.equals("event")) {
            name = value;
        } else if (field.equals("data")) {
            data = data == null ? new StringBuilder(value) : data.append('\n').append(value);
        }
    }
}
