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
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final String VERSION_PREFIX = "HTTP/1.";
    /** Backends send events of a few hundred bytes each; one chunk of gigabytes is noise. */
    private static final long MAX_CHUNK_BYTES = 1 << 20;

    private final LineReader lines = new LineReader(MAX_HEAD_BYTES, false);
    private Map<String, String> headers = new HashMap<>();
    private String lastHeaderName;
    private boolean statusLineRead;
    private int status;
    private boolean keepAlive;
    private ResponseHead head;
    private BodyFraming framing;
    private boolean surplusBytes;

    /** Reads on: body bytes go to {@code body}, which has room for all of {@code input}. */
    void parse(ByteBuffer input, ByteBuffer body) throws IOException {
        while (head == null && input.hasRemaining()) {
            String line = lines.readLine(input);
            if (line == null) {
                checkStatusLinePrefix();
            } else if (statusLineRead) {
                parseHeaderLine(line);
            } else {
                parseStatusLine(line);
            }
        }
        if (head != null) {
            framing.decode(input, body);
            surplusBytes |= framing.isComplete() && input.hasRemaining();
        }
    }

    /** The other side sent its last byte: true if the response is whole. */
    boolean onEndOfInput() {
        return framing != null && framing.onEndOfInput();
    }

    boolean isComplete() {
        return framing != null && framing.isComplete();
    }

    /** Bytes came behind the response. They belong to no request, so the connection can't be used again. */
    boolean hasSurplusBytes() {
        return surplusBytes;
    }

    /** Status and headers, once read; else null. */
    ResponseHead head() {
        return head;
    }

    /** Noise in place of a status line may hold no line's end: it is known by its first bytes. */
    private void checkStatusLinePrefix() throws IOException {
        String partialLine = lines.partialLine().toString();
        if (!statusLineRead && !partialLine.startsWith(VERSION_PREFIX) && !VERSION_PREFIX.startsWith(partialLine)) {
            throw new IOException("not a status line");
        }
    }

    private void parseStatusLine(String line) throws IOException {
        if (!line.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("not a status line: " + line.substring(0, Math.min(40, line.length())));
        }
        keepAlive = line.startsWith("HTTP/1.1");
        status = Integer.parseInt(line.substring(9, 12));
        statusLineRead = true;
    }

    private void parseHeaderLine(String line) throws IOException {
        if (line.startsWith(" ") || line.startsWith("\t")) {
            appendFoldedLine(line);
            return;
        }
        if (!line.isEmpty()) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
            if (!RequestHeadValidator.isToken(name)) {
                throw new IOException("bad header");
            }
            String value = line.substring(colon + 1).trim();
            String previousValue = headers.put(name, value);
            lastHeaderName = name;
            if (previousValue != null && !previousValue.equals(value) && RequestHeadValidator.isFramingHeader(name)) {
                throw new IOException("two different headers " + name);
            }
            return;
        }
        if (status < 200) {
            headers = new HashMap<>();
            lastHeaderName = null;
            statusLineRead = false;
            return;
        }
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        keepAlive = keepAlive ? !connection.contains("close") : connection.contains("keep-alive");
        framing = selectFraming();
        head = new ResponseHead(status, headers, keepAlive);
    }

    /** A line that continues the header before it, by RFC 9112 as though a space stood there; never one that frames. */
    private void appendFoldedLine(String line) throws IOException {
        if (lastHeaderName == null || RequestHeadValidator.isFramingHeader(lastHeaderName)) {
            throw new IOException("a header that can't be continued");
        }
        headers.merge(lastHeaderName, line.trim(), (value, more) -> (value + ' ' + more).trim());
    }

    private BodyFraming selectFraming() throws IOException {
        String transferEncoding = headers.get("transfer-encoding");
        String contentLength = headers.get("content-length");
        if (transferEncoding != null && (contentLength != null || !transferEncoding.equalsIgnoreCase("chunked"))) {
            throw new IOException("framing that can't be trusted");
        }
        if (status == 204 || status == 304) {
            return BodyFraming.fixedLength(0);
        }
        if (transferEncoding != null) {
            return BodyFraming.chunked(MAX_CHUNK_BYTES);
        }
        if (contentLength != null) {
            return BodyFraming.fixedLength(BodyFraming.parseContentLength(contentLength));
        }
        if (keepAlive) {
            // Its end could not be told from a cut, and a framing that was lost on the way not from none.
            throw new IOException("an answer without a length on a connection that is not to close");
        }
        return BodyFraming.untilClose();
    }
}
