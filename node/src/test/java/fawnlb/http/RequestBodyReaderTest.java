package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

public class RequestBodyReaderTest {
    private static final int LARGE_BODY_BYTES = 200_000;
    private static final long TIMEOUT_NANOS = 30_000_000_000L;

    /** Room for one large body, whose buffer is 256 KiB, and for no second. */
    private final RequestBodyReader bodyReader = new RequestBodyReader(300_000);

    private final Undertow server = Undertow.builder()
            .setIoThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange -> bodyReader.receive(
                    exchange,
                    (taken, body) -> answer(taken, StatusCodes.OK, "took " + body.length),
                    RequestBodyReaderTest::answer))
            .build();
    private final List<Socket> clients = new ArrayList<>();

    private static void answer(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        exchange.getResponseSender().send(text);
    }

    @Before
    public void start() {
        server.start();
    }

    @After
    public void stop() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        server.stop();
    }

    /** A client that has sent so much of a large body. */
    private Socket sendPartialBody(int bytes) throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(10_000);
        clients.add(client);
        client.getOutputStream()
                .write(("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"
                                + "x".repeat(bytes))
                        .getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    /** What a client gets that sends the whole of a large body. */
    private String exchangeFullBody() throws IOException {
        try {
            return new String(
                    sendPartialBody(LARGE_BODY_BYTES).getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            // A refusal closes upon what is still being sent, and may take its answer with it.
            return "";
        }
    }

    /**
     * Large bodies from all clients at once would be more than the heap holds. The node says nothing of what it holds:
     * the second is sent until the first is held, and the first anew if it was given up meanwhile.
     */
    @Test
    public void bodyOverMemoryLimitIsRejectedAndMemoryIsReleased() throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        Socket first = sendPartialBody(LARGE_BODY_BYTES - 1);
        String second = exchangeFullBody();
        while (!second.startsWith("HTTP/1.1 503") && System.nanoTime() < end) {
            assertTrue(second, second.isEmpty() || second.endsWith("took " + LARGE_BODY_BYTES));
            if (first.getInputStream().available() > 0) {
                first.close();
                first = sendPartialBody(LARGE_BODY_BYTES - 1);
            }
            second = exchangeFullBody();
        }
        assertTrue(
                second,
                second.contains("Retry-After: 1\r\n") && second.endsWith("no room for the body; try again later"));
        first.close();
        end = System.nanoTime() + TIMEOUT_NANOS;
        String third = exchangeFullBody();
        while (!third.startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
            assertTrue(third, third.isEmpty() || third.startsWith("HTTP/1.1 503"));
            third = exchangeFullBody();
        }
        assertEquals("took " + LARGE_BODY_BYTES, third.substring(third.lastIndexOf('\n') + 1));
    }
}
