package fawnlb.lab.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.Test;

public class HttpRequestParserTest {
    private final HttpRequestParser parser = new HttpRequestParser();

    private void receive(String text) {
        for (byte next : text.getBytes(StandardCharsets.US_ASCII)) {
            parser.writableBuffer().put(next);
        }
    }

    @Test
    public void requestIsReturnedOnceItsBodyIsComplete() {
        receive("POST /a?b=1 HTTP/1.1\r\nX-One:  1 \r\nContent-Length: 4\r\n\r\nab");
        assertEquals(Optional.empty(), parser.poll());
        receive("cd");
        HttpRequest request = parser.poll().orElseThrow();
        assertEquals("POST", request.method());
        assertEquals("/a?b=1", request.path());
        assertEquals("1", request.header("x-one"));
        assertEquals("", request.header("x-two"));
        assertEquals("abcd", new String(request.body(), StandardCharsets.US_ASCII));
        assertEquals(Optional.empty(), parser.poll());
    }

    @Test
    public void nextRequestBeginsBehindTheBodyOfTheFirst() {
        receive("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        assertEquals("/1", parser.poll().orElseThrow().path());
        assertEquals("/2", parser.poll().orElseThrow().path());
    }

    @Test
    public void bufferGrowsWithTheRequest() {
        String body = "x".repeat(20_000);
        receive("POST / HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertEquals(body.length(), parser.poll().orElseThrow().body().length);
        assertTrue(parser.writableBuffer().hasRemaining());
    }
}
