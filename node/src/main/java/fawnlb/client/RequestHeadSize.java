package fawnlb.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Map;

/**
 * Estimates how much of the heap the head of a request holds, which many short fields make far larger than the head
 * itself. The estimates are upper bounds of what the HTTP parser keeps.
 */
final class RequestHeadSize {
    /** The exchange and the parser's state. */
    private static final long BASE_BYTES = 3 << 10;

    private static final long HEADER_BYTES = 200;
    /** A parameter of the query or the path is kept in a queue of its own. */
    private static final long PARAMETER_BYTES = 160;

    private static final long PER_BYTE_NUMERATOR = 5;
    private static final long PER_BYTE_DENOMINATOR = 4;

    private int bytes;
    private int lines;
    private int separators;

    /** Counts the next bytes of a head that is being read. The position of the buffer stays. */
    void add(ByteBuffer head, int from, int to) {
        bytes += to - from;
        for (int i = from; i < to; i++) {
            switch (head.get(i)) {
                case '\n' -> lines++;
                case ';', '&' -> separators++;
                default -> {}
            }
        }
    }

    /** Starts with the next head. */
    void reset() {
        bytes = 0;
        lines = 0;
        separators = 0;
    }

    /** The heap that the bytes so far hold, at the most. */
    long heapBytes() {
        return estimate(bytes, lines + 1L, separators);
    }

    /** The heap that a parsed head holds, at the most. */
    static long heapBytes(HttpServerExchange exchange) {
        long bytes = exchange.getRequestURI().length();
        bytes += exchange.getQueryString().length();
        long headers = 0;
        for (HeaderValues header : exchange.getRequestHeaders()) {
            headers += header.size();
            bytes += header.getHeaderName().length();
            for (String value : header) {
                bytes += value.length();
            }
        }
        long parameters = count(exchange.getQueryParameters()) + count(exchange.getPathParameters());
        return estimate(bytes, headers, parameters);
    }

    private static long count(Map<String, Deque<String>> parameters) {
        return parameters.values().stream().mapToLong(Deque::size).sum();
    }

    private static long estimate(long bytes, long headers, long parameters) {
        return BASE_BYTES
                + headers * HEADER_BYTES
                + parameters * PARAMETER_BYTES
                + bytes * PER_BYTE_NUMERATOR / PER_BYTE_DENOMINATOR;
    }
}
