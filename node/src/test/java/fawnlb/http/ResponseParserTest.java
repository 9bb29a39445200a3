package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

public class ResponseParserTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    /** A response and how it must be parsed. */
    private record ValidResponse(
            String input, int status, String body, boolean completeBeforeClose, boolean keepAlive) {}

    private static ValidResponse persistent(String input, int status, String body) {
        return new ValidResponse(input, status, body, true, true);
    }

    /** A response with a length of its own, after which the connection closes. */
    private static ValidResponse closing(String input, int status, String body) {
        return new ValidResponse(input, status, body, true, false);
    }

    /** A response whose body ends with its connection. */
    private static ValidResponse untilClose(String input, int status, String body) {
        return new ValidResponse(input, status, body, false, false);
    }

    private static final List<ValidResponse> VALID_RESPONSES = List.of(
            persistent(OK + "Content-Length: 3\r\n\r\nabc", 200, "abc"),
            persistent(OK + "content-length: 0\r\n\r\n", 200, ""),
            persistent(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", 200, "abcde"),
            persistent(OK + "Transfer-Encoding: Chunked\r\n\r\n0\r\nTrailer: x\r\n\r\n", 200, ""),
            persistent("HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 1\r\n\r\na", 200, "a"),
            closing("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", 503, "x"),
            closing("HTTP/1.0 200 OK\nContent-Length: 1\n\nx", 200, "x"),
            persistent("HTTP/1.1 204\r\n\r\n", 204, ""),
            persistent(
                    "HTTP/1.1 102 Processing\r\nX: y\r\n\r\nHTTP/1.1 100\r\n\r\n" + OK + "Content-Length: 1\r\n\r\na",
                    200,
                    "a"),
            untilClose(OK + "Connection: close\r\n\r\nall of it", 200, "all of it"),
            persistent(OK + "X-Note: a\r\n  b\r\n\tc\r\nCONTENT-LENGTH: 1\r\n\r\na", 200, "a"),
            closing(OK + "Connection:\r\n close\r\nContent-Length: 1\r\n\r\na", 200, "a"),
            persistent(
                    OK
                            + "TRANSFER-ENCODING: CHUNKED\r\n\r\n"
                            + "00003 ; a=\"x;y\\\"z\";b\r\nabc\r\n0;q=\"\"\r\nA: b\r\nC: d\r\n\r\n",
                    200,
                    "abc"));

    private static String manyHeaders(int count) {
        StringBuilder headers = new StringBuilder();
        for (int i = 0; i < count; i++) {
            headers.append(i).append(":\r\n");
        }
        return headers.toString();
    }

    private static final String[] MALFORMED_RESPONSES = {
        OK + "\r\nall of it",
        "SPDY/1 200 OK\r\n\r\n",
        OK + manyHeaders(65) + "\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        OK + "no colon\r\n\r\n",
        OK + "Content-Length: -1\r\n\r\n",
        OK + "Content-Length: x\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nab",
        OK + "Transfer-Encoding: chunked\r\n\r\n+1\r\na",
        OK + "Transfer-Encoding: chunked\r\n\r\n\r\na",
        OK + "Transfer-Encoding: chunked\r\n\r\nc0000000\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\nc0000000;",
        OK + "Transfer-Encoding: chunked\r\n\r\n0000c00000",
        OK + "Transfer-Encoding: chunked\r\n\r\n0000000000000000",
        OK + "Transfer-Encoding: chunked\r\n\r\n1z",
        OK + "Transfer-Encoding: chunked\r\n\r\n;a",
        OK + "Content-Length: 3221225472\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n1;" + "x".repeat(5000),
        OK + "Transfer-Encoding: gzip\r\n\r\n",
        OK + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        OK + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        OK + " x: y\r\n\r\n",
        OK + "Content-Length:\r\n 1\r\n\r\na",
        OK + "Transfer-Encoding: chunked\r\n , gzip\r\n\r\n",
        OK + "Content-Length: +1\r\n\r\n",
        OK + "Content-Length: 99999999999999999999\r\n\r\n",
        OK + "a b: c\r\n\r\n",
        "\u0001noise",
        "HTTP/2",
        "HTTP/1.1 200 " + "x".repeat(17_000),
        OK + "a: b\r\n".repeat(3000),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(1000)
    };

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    public void validResponsesParseAtAnyFragmentation() throws MalformedResponseException {
        for (ValidResponse response : VALID_RESPONSES) {
            for (int fragmentBytes : new int[] {1, 2, 7, 1000}) {
                assertParsed(response, fragmentBytes);
            }
        }
    }

    private static void assertParsed(ValidResponse expected, int fragmentBytes) throws MalformedResponseException {
        ResponseParser parser = new ResponseParser();
        String input = expected.input();
        ByteBuffer body = ByteBuffer.allocate(100);
        for (int at = 0; at < input.length(); at += fragmentBytes) {
            parser.parse(bytes(input.substring(at, Math.min(input.length(), at + fragmentBytes))), body);
        }
        assertEquals(input, expected.status(), parser.head().status());
        assertEquals(input, expected.body(), new String(body.array(), 0, body.position(), StandardCharsets.ISO_8859_1));
        assertEquals(input, expected.completeBeforeClose(), parser.isComplete());
        assertEquals(input, expected.keepAlive(), parser.head().keepAlive());
        assertTrue(input, parser.onEndOfInput());
    }

    @Test
    public void malformedResponsesAreRejected() {
        for (String in : MALFORMED_RESPONSES) {
            assertThrows(
                    in,
                    MalformedResponseException.class,
                    () -> new ResponseParser().parse(bytes(in), ByteBuffer.allocate(100)));
        }
    }

    /** The stream is good; its connection is not to be used again, or the next request gets the second answer. */
    @Test
    public void surplusBytesAreReportedAndNotRead() throws MalformedResponseException {
        for (String framing :
                new String[] {"Content-Length: 1\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"}) {
            ResponseParser parser = new ResponseParser();
            ByteBuffer body = ByteBuffer.allocate(100);
            parser.parse(bytes(OK + framing), body);
            assertFalse(parser.hasSurplusBytes());
            parser.parse(bytes(OK + framing), body);
            assertTrue(parser.isComplete() && parser.hasSurplusBytes());
            assertEquals(1, body.position());
        }
    }

    @Test
    public void truncatedResponseIsIncomplete() throws MalformedResponseException {
        for (String in : new String[] {
            "",
            "HTTP/1.1 2",
            OK,
            OK + "Content-Length: 3\r\n\r\nab",
            OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
        }) {
            ResponseParser parser = new ResponseParser();
            parser.parse(bytes(in), ByteBuffer.allocate(100));
            assertFalse(in, parser.onEndOfInput());
        }
    }

    /** Framing behind one chunk of three bytes, and how many of its bytes are such as a backend's chunks have. */
    private record Framing(String text, int wellFormedBytes) {}

    @Test
    public void framingLikeThatOfOtherChunksIsDistinguishedFromOther() throws MalformedResponseException {
        for (Framing framing : List.of(
                new Framing("\r\n", 2),
                new Framing("\r\n1a", 4),
                new Framing("\r\n1a\r", 5),
                new Framing("\r\n0000", 2),
                new Framing("\r\n1;", 2),
                new Framing("\r\n0\r\n\r", 6),
                new Framing("\r\n0\r\nx:", 5))) {
            ResponseParser parser = new ResponseParser();
            ByteBuffer body = ByteBuffer.allocate(100);
            parser.parse(bytes(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc"), body);

            parser.parse(bytes(framing.text()), body);

            assertEquals(framing.text(), framing.wellFormedBytes(), parser.wellFormedFramingBytes());
        }
    }
}
