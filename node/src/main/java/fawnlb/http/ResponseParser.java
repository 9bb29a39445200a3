package fawnlb.http;

import fawnlb.http.MalformedResponseException.Section;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one HTTP/1.1 response from input of any fragmentation.
 *
 * <p>Undertow's own client is not used, because it can't cancel a pending connect: each connect to a host that has
 * vanished would hold a descriptor for minutes.
 */
final class ResponseParser {
    /** The limit for all heads of a response, interim (1xx) ones included, so that a head which never ends fails. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Each header of a head that is being read takes far more of the heap than its bytes. */
    private static final int MAX_HEADERS = 64;

    /** Backends send events of a few hundred bytes each, so a chunk larger than this is not one of theirs. */
    private static final long MAX_CHUNK_BYTES = 1 << 20;

    /** No answer or list is longer; a server that declares more would never get to the end of it. */
    private static final long MAX_DECLARED_BODY_BYTES = 16 << 20;

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([1-5][0-9][0-9])( .*)?");
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    /** How much of a malformed status line an error message quotes. */
    private static final int MAX_QUOTED_CHARACTERS = 40;

    private final LineReader lines = LineReader.allowingBareLf(MAX_HEAD_BYTES);
    private Map<String, String> headers = new HashMap<>();
    private String lastHeaderName;
    private boolean statusLineRead;
    private int status;
    private boolean keepAlive;
    private ResponseHead head;
    private BodyFraming framing;
    private boolean surplusBytes;

    /**
     * Parses input, up to the end of the response.
     *
     * @param body receives the bytes of the body; must have room for all of the input
     * @throws MalformedResponseException if the response can't be parsed
     */
    void parse(ByteBuffer input, ByteBuffer body) throws MalformedResponseException {
        try {
            parseHead(input);
        } catch (MalformedMessageException e) {
            throw new MalformedResponseException(Section.HEAD, e);
        }
        if (head == null) {
            return;
        }
        try {
            framing.decode(input, body);
        } catch (MalformedMessageException e) {
            throw new MalformedResponseException(Section.BODY, e);
        }
        surplusBytes |= framing.isComplete() && input.hasRemaining();
    }

    /** Must be called when the connection has ended. Returns whether the response is complete. */
    boolean onEndOfInput() {
        return framing != null && framing.onEndOfInput();
    }

    /** Whether the last byte of the response has been parsed. */
    boolean isComplete() {
        return framing != null && framing.isComplete();
    }

    /**
     * Whether bytes came after the end of the response. They belong to no request, so the connection can't be used
     * again.
     */
    boolean hasSurplusBytes() {
        return surplusBytes;
    }

    /** How many bytes of the latest input were framing such as the response's other chunks have. */
    int wellFormedFramingBytes() {
        return framing.wellFormedFramingBytes();
    }

    /** Status and headers, or null as long as they are not complete. */
    ResponseHead head() {
        return head;
    }

    /** Whether a head, be it an interim one, has begun and is not complete. */
    boolean isWithinHead() {
        return head == null && (statusLineRead || lines.partialLine().length() > 0);
    }

    private void parseHead(ByteBuffer input) throws MalformedMessageException {
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
    }

    /** Rejects bytes that begin like no status line, since they may never contain the end of a line. */
    private void checkStatusLinePrefix() throws MalformedMessageException {
        String partialLine = lines.partialLine().toString();
        if (!statusLineRead && !partialLine.startsWith(VERSION_PREFIX) && !VERSION_PREFIX.startsWith(partialLine)) {
            throw new MalformedMessageException("not a status line");
        }
    }

    private void parseStatusLine(String line) throws MalformedMessageException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedMessageException(
                    "not a status line: " + line.substring(0, Math.min(MAX_QUOTED_CHARACTERS, line.length())));
        }
        keepAlive = line.startsWith("HTTP/1.1");
        status = Integer.parseInt(matcher.group(1));
        statusLineRead = true;
    }

    private void parseHeaderLine(String line) throws MalformedMessageException {
        if (line.startsWith(" ") || line.startsWith("\t")) {
            appendFoldedLine(line);
        } else if (!line.isEmpty()) {
            addHeader(line);
        } else if (status < FIRST_FINAL_STATUS) {
            discardInterimHead();
        } else {
            finishHead();
        }
    }

    /**
     * Continues the value of the previous header, joined by a space as RFC 9112 says. Framing headers can't be folded.
     */
    private void appendFoldedLine(String line) throws MalformedMessageException {
        if (lastHeaderName == null || RequestHeadValidator.isFramingHeader(lastHeaderName)) {
            throw new MalformedMessageException("a header that can't be continued");
        }
        headers.merge(lastHeaderName, line.trim(), (value, more) -> (value + ' ' + more).trim());
    }

    private void addHeader(String line) throws MalformedMessageException {
        int colon = line.indexOf(':');
        String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!RequestHeadValidator.isToken(name)) {
            throw new MalformedMessageException("bad header");
        }
        String value = line.substring(colon + 1).trim();
        String previousValue = headers.put(name, value);
        lastHeaderName = name;
        if (headers.size() > MAX_HEADERS) {
            throw new MalformedMessageException("more than " + MAX_HEADERS + " headers");
        }
        if (previousValue != null && !previousValue.equals(value) && RequestHeadValidator.isFramingHeader(name)) {
            throw new MalformedMessageException("two different headers " + name);
        }
    }

    private void discardInterimHead() {
        headers = new HashMap<>();
        lastHeaderName = null;
        statusLineRead = false;
    }

    private void finishHead() throws MalformedMessageException {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        keepAlive = keepAlive ? !connection.contains("close") : connection.contains("keep-alive");
        framing = selectFraming();
        head = ResponseHead.keepingKnownHeaders(status, headers, keepAlive);
        headers = Map.of();
    }

    private BodyFraming selectFraming() throws MalformedMessageException {
        String transferEncoding = headers.get("transfer-encoding");
        String contentLength = headers.get("content-length");
        if (transferEncoding != null && (contentLength != null || !transferEncoding.equalsIgnoreCase("chunked"))) {
            throw new MalformedMessageException("framing that can't be trusted");
        }
        if (status == NO_CONTENT || status == NOT_MODIFIED) {
            return BodyFraming.fixedLength(0);
        }
        if (transferEncoding != null) {
            return BodyFraming.chunked(MAX_CHUNK_BYTES);
        }
        if (contentLength != null) {
            return BodyFraming.fixedLength(parseDeclaredLength(contentLength));
        }
        if (keepAlive) {
            // Nothing would tell the end of this response from a truncation, or a lost framing header from none.
            throw new MalformedMessageException("an answer without a length on a connection that is not to close");
        }
        return BodyFraming.untilClose();
    }

    private static long parseDeclaredLength(String contentLength) throws MalformedMessageException {
        long lengthBytes = BodyFraming.parseContentLength(contentLength);
        if (lengthBytes > MAX_DECLARED_BODY_BYTES) {
            throw new MalformedMessageException("body of " + lengthBytes + " bytes");
        }
        return lengthBytes;
    }
}
