package fawnlb.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one HTTP/1.1 response from pieces of any size. Undertow's own client is not used for this: it can't take back a
 * connect that never comes up, and each such connect to a vanished engine would hold a descriptor for minutes.
 */
final class ResponseParser {
    /** All heads of a response together, those of 1xx answers ahead of it too: a head that never ends is an error. */
    private static final int MAX_HEADS_BYTES = 16 * 1024;

    private static final String VERSION = "HTTP/1.";
    /** Backends send events of a few hundred bytes each; one chunk of gigabytes is noise. */
    private static final long MAX_CHUNK_BYTES = 1 << 20;

    private final Lines lines = new Lines(MAX_HEADS_BYTES, false);
    private Map<String, String> headers = new HashMap<>();
    private String lastHeader;
    private boolean statusRead;
    private int status;
    private boolean keepAlive;
    private Response head;
    private Content content;
    private boolean surplus;

    /** Reads on: body bytes go to {@code body}, which has room for all of {@code in}. */
    void feed(ByteBuffer in, ByteBuffer body) throws IOException {
        while (head == null && in.hasRemaining()) {
            String line = lines.next(in);
            if (line == null) {
                checkBegun();
            } else if (statusRead) {
                header(line);
            } else {
                status(line);
            }
        }
        if (head != null) {
            content.feed(in, body);
            surplus |= content.done() && in.hasRemaining();
        }
    }

    /** The other side sent its last byte: true if the response is whole. */
    boolean eof() {
        return content != null && content.eof();
    }

    boolean done() {
        return content != null && content.done();
    }

    /** Bytes came behind the response. They belong to no request, so the connection can't be used again. */
    boolean surplus() {
        return surplus;
    }

    /** Status and headers, once read; else null. */
    Response head() {
        return head;
    }

    /** Noise in place of a status line may hold no line's end: it is known by its first bytes. */
    private void checkBegun() throws IOException {
        String begun = lines.begun().toString();
        if (!statusRead && !begun.startsWith(VERSION) && !VERSION.startsWith(begun)) {
            throw new IOException("not a status line");
        }
    }

    private void status(String text) throws IOException {
        if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("not a status line: " + text.substring(0, Math.min(40, text.length())));
        }
        keepAlive = text.startsWith("HTTP/1.1");
        status = Integer.parseInt(text.substring(9, 12));
        statusRead = true;
    }

    private void header(String text) throws IOException {
        if (text.startsWith(" ") || text.startsWith("\t")) {
            fold(text);
            return;
        }
        if (!text.isEmpty()) {
            int colon = text.indexOf(':');
            String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
            if (!Heads.isToken(name)) {
                throw new IOException("bad header");
            }
            String value = text.substring(colon + 1).trim();
            String before = headers.put(name, value);
            lastHeader = name;
            if (before != null && !before.equals(value) && Heads.isFraming(name)) {
                throw new IOException("two different headers " + name);
            }
            return;
        }
        if (status < 200) {
            headers = new HashMap<>();
            lastHeader = null;
            statusRead = false;
            return;
        }
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        keepAlive = keepAlive ? !connection.contains("close") : connection.contains("keep-alive");
        content = content();
        head = new Response(status, headers, keepAlive);
    }

    /** A line that continues the header before it, by RFC 9112 as though a space stood there; never one that frames. */
    private void fold(String text) throws IOException {
        if (lastHeader == null || Heads.isFraming(lastHeader)) {
            throw new IOException("a header that can't be continued");
        }
        headers.merge(lastHeader, text.trim(), (value, more) -> (value + ' ' + more).trim());
    }

    private Content content() throws IOException {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            throw new IOException("framing that can't be trusted");
        }
        if (status == 204 || status == 304) {
            return Content.fixed(0);
        }
        if (coding != null) {
            return Content.chunked(MAX_CHUNK_BYTES);
        }
        if (length != null) {
            return Content.fixed(Content.length(length));
        }
        if (keepAlive) {
            // Its end could not be told from a cut, and a framing that was lost on the way not from none.
            throw new IOException("an answer without a length on a connection that is not to close");
        }
        return Content.toClose();
    }
}
