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
final class ListReader {
    /** What stands for a blank line among the objects. */
    static final String HEARTBEAT = "";

    private final int maxBytes;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineIsBlank = true;

    /** Objects longer than this are errors. */
    ListReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The objects and heartbeats that end within these bytes, in their order. */
    List<String> feed(ByteBuffer bytes) throws IOException {
        List<String> found = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                lineEnds(found);
            } else if (depth == 0) {
                between(next);
            } else {
                within(next, found);
            }
        }
        return found;
    }

    /** Whether an object has begun and not ended. */
    boolean isWithinObject() {
        return depth > 0;
    }

    private void lineEnds(List<String> found) throws IOException {
        if (inString || depth > 0 && lineIsBlank) {
            throw new IOException("an object that breaks off");
        }
        if (depth == 0 && lineIsBlank) {
            found.add(HEARTBEAT);
        }
        lineIsBlank = true;
    }

    private void between(byte next) throws IOException {
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

    private void within(byte next, List<String> found) throws IOException {
        if (object.size() >= maxBytes) {
            throw new IOException("object longer than " + maxBytes + " bytes");
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
            found.add(object.toString(StandardCharsets.UTF_8));
            object.reset();
        }
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
