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

public class BodyReaderTest {
    private static final int LARGE = 200_000;
    private static final long PATIENCE = 30_000_000_000L;

    /** Room for one large body, whose buffer is 256 KiB, and for no second. */
    private final BodyReader bodies = new BodyReader(300_000);

    private final Undertow server = Undertow.builder()
            .setIoThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange -> bodies.receive(
                    exchange,
                    (taken, body) -> answer(taken, StatusCodes.OK, "took " + body.length),
                    BodyReaderTest::answer))
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
    private Socket sends(int bytes) throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(10_000);
        clients.add(client);
        client.getOutputStream()
                .write(("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + LARGE + "\r\n\r\n" + "x".repeat(bytes))
                        .getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    /** What a client gets that sends the whole of a large body. */
    private String whole() throws IOException {
        try {
            return new String(sends(LARGE).getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
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
    public void aBodyForWhichThereIsNoRoomIsRefusedAndItsRoomGivenBack() throws Exception {
        long end = System.nanoTime() + PATIENCE;
        Socket first = sends(LARGE - 1);
        String second = whole();
        while (!second.startsWith("HTTP/1.1 503") && System.nanoTime() < end) {
            assertTrue(second, second.isEmpty() || second.endsWith("took " + LARGE));
            if (first.getInputStream().available() > 0) {
                first.close();
                first = sends(LARGE - 1);
            }
            second = whole();
        }
        assertTrue(
                second,
                second.contains("Retry-After: 1\r\n") && second.endsWith("no room for the body; try again later"));
        first.close();
        end = System.nanoTime() + PATIENCE;
        String third = whole();
        while (!third.startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
            assertTrue(third, third.isEmpty() || third.startsWith("HTTP/1.1 503"));
            third = whole();
        }
        assertEquals("took " + LARGE, third.substring(third.lastIndexOf('\n') + 1));
    }
}
