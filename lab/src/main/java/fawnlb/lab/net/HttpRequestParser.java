package fawnlb.lab.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Collects the bytes that a connection receives and extracts complete requests with a Content-Length. */
final class HttpRequestParser {
    private static final int INITIAL_BUFFER_BYTES = 4096;
    private static final String LINE_END = "\r\n";
    private static final String HEAD_END = LINE_END + LINE_END;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    /** Returns the buffer to read received bytes into; it always has room. */
    ByteBuffer writableBuffer() {
        if (!buffer.hasRemaining()) {
            buffer = ByteBuffer.allocate(buffer.capacity() * 2).put(buffer.flip());
        }
        return buffer;
    }

    /** Removes the first request from the buffer, or returns nothing while it is incomplete. */
    Optional<HttpRequest> poll() {
        String text = new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) {
            return Optional.empty();
        }
        String[] lines = text.substring(0, headEnd).split(LINE_END);
        Map<String, String> headers = parseHeaders(lines);
        int bodyStart = headEnd + HEAD_END.length();
        int requestEnd = bodyStart + Integer.parseInt(headers.getOrDefault("content-length", "0"));
        if (buffer.position() < requestEnd) {
            return Optional.empty();
        }
        byte[] body = Arrays.copyOfRange(buffer.array(), bodyStart, requestEnd);
        buffer.limit(buffer.position()).position(requestEnd);
        buffer.compact();
        String[] requestLine = lines[0].split(" ");
        return Optional.of(new HttpRequest(requestLine[0], requestLine[1], headers, body));
    }

    private static Map<String, String> parseHeaders(String[] lines) {
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, lines[i].substring(colon + 1).trim());
        }
        return headers;
    }
}
