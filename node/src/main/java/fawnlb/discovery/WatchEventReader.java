package fawnlb.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds the JSON objects and the blank lines between them in pieces of any size. An object may be on one line or
 * indented over many; a blank line, between two objects, is a heartbeat. Within an object a blank line says that the
 * rest of it was lost.
 */
final class WatchEventReader {
    /** What stands for a blank line among the objects. */
    static final String HEARTBEAT = "";

    private final int maxObjectBytes;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineIsBlank = true;

    /** Objects longer than this are errors. */
    WatchEventReader(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /** The objects and heartbeats that end within these bytes, in their order. */
    List<String> read(ByteBuffer bytes) throws IOException {
        List<String> events = new ArrayList<>();
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

    /** Whether an object has begun and not ended. */
    boolean isWithinObject() {
        return depth > 0;
    }

    private void onLineEnd(List<String> events) throws IOException {
        if (inString || depth > 0 && lineIsBlank) {
            throw new IOException("an object that breaks off");
        }
        if (depth == 0 && lineIsBlank) {
            events.add(HEARTBEAT);
        }
        lineIsBlank = true;
    }

    private void readBetweenObjects(byte next) throws IOException {
        if (isBlank(next)) {
            return;
        }
        if (next != '{') {
            throw new IOException("expected an object");
        }
        lineIsBlank = false;
        depth = 1;
        object.reset();
        object.write(next);
    }

    private void readWithinObject(byte next, List<String> events) throws IOException {
        if (object.size() >= maxObjectBytes) {
            throw new IOException("object longer than " + maxObjectBytes + " bytes");
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
        } else if ((next == '}' || next == ']') && --depth == 0) {
            events.add(object.toString(StandardCharsets.UTF_8));
            object.reset();
        }
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
