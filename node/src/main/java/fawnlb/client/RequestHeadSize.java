package fawnlb.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
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
    private static final long NO_MORE_HEADERS = -1;

    private int bytes;
    private int lines;
    private int separators;

    /**
     * Counts the next bytes that were read, from an index to before another. If a head ends within them, what is behind
     * its end is all that counts. The position of the buffer stays.
     *
     * @return whether a head ends within the bytes
     */
    boolean add(ByteBuffer read, int from, int to) {
        int newLines = 0;
        int newSeparators = 0;
        // Backwards: behind a complete head there is little to count.
        for (int i = to - 1; i >= from; i--) {
            byte next = read.get(i);
            if (next == '\n') {
                if (isEndOfHead(read, from, i)) {
                    reset();
                    count(to - 1 - i, newLines, newSeparators);
                    return true;
                }
                newLines++;
            } else if (next == ';' || next == '&') {
                newSeparators++;
            }
        }
        count(to - from, newLines, newSeparators);
        return false;
    }

    private void count(int newBytes, int newLines, int newSeparators) {
        bytes += newBytes;
        lines += newLines;
        separators += newSeparators;
    }

    /** Whether the line feed at an index ends an empty line. */
    private static boolean isEndOfHead(ByteBuffer read, int from, int lineFeed) {
        int previous = lineFeed - 1;
        if (previous >= from && read.get(previous) == '\r') {
            previous--;
        }
        return previous >= from && read.get(previous) == '\n';
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
        HeaderMap headerMap = exchange.getRequestHeaders();
        for (long i = headerMap.fastIterateNonEmpty(); i != NO_MORE_HEADERS; i = headerMap.fiNextNonEmpty(i)) {
            HeaderValues header = headerMap.fiCurrent(i);
            headers += header.size();
            bytes += header.getHeaderName().length();
            for (int j = 0; j < header.size(); j++) {
                bytes += header.get(j).length();
            }
        }
        long parameters = count(exchange.getQueryParameters()) + count(exchange.getPathParameters());
        return estimate(bytes, headers, parameters);
    }

    private static long count(Map<String, Deque<String>> parameters) {
        long count = 0;
        for (Deque<String> values : parameters.values()) {
            count += values.size();
        }
        return count;
    }

    private static long estimate(long bytes, long headers, long parameters) {
        return BASE_BYTES
                + headers * HEADER_BYTES
                + parameters * PARAMETER_BYTES
                + bytes * PER_BYTE_NUMERATOR / PER_BYTE_DENOMINATOR;
    }
}
