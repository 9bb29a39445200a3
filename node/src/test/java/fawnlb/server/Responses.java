package fawnlb.server;

import java.nio.charset.StandardCharsets;

/** Texts of HTTP responses and their parts, as backends and discovery servers send them. */
final class Responses {
    static final String CHUNKED_ENCODING = "Transfer-Encoding: chunked\r\n";
    static final String NO_BODY = "Content-Length: 0\r\n";
    /** Backends send it with a rejection of a request that they have not begun to run. */
    static final String NOT_RUN = "X-Not-Run: 1\r\n";

    static final String LAST_CHUNK = "0\r\n\r\n";
    static final String CONTENT_EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    static final String DONE_EVENT = "data: [DONE]\n\n";
    /** A complete response of the chat dialect. */
    static final String COMPLETE_STREAM = stream(CONTENT_EVENT + DONE_EVENT);

    private Responses() {}

    /** Returns a status line and headers with the empty line behind them; each header ends with CRLF. */
    static String responseHead(int status, String... headers) {
        return "HTTP/1.1 " + status + " x\r\nContent-Type: text/event-stream\r\n" + String.join("", headers) + "\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    /** Returns a response with status 200 that begins with these chunks and does not end. */
    static String openStream(String... chunks) {
        StringBuilder stream = new StringBuilder(responseHead(200, CHUNKED_ENCODING));
        for (String text : chunks) {
            stream.append(chunk(text));
        }
        return stream.toString();
    }

    /** Returns a response with status 200 and these chunks. */
    static String stream(String... chunks) {
        return openStream(chunks) + LAST_CHUNK;
    }

    /** Returns a response with a status and no body. */
    static String status(int status, String... headers) {
        return responseHead(status, NO_BODY + String.join("", headers));
    }
}
