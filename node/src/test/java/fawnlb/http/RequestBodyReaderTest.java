package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.ManualTimers;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryObserver;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

public class RequestBodyReaderTest {
    private static final int LARGE_BODY_BYTES = 200_000;
    /** Enough for one large body, whose buffer has 256 KiB, and not for a second. */
    private static final int MAX_BUFFERED_BYTES = 300_000;

    private static final long TIMEOUT_NANOS = 30_000_000_000L;
    /** Longer than a body may take while others wait for its memory. */
    private static final long MORE_THAN_ENOUGH_TIME_NANOS = 1_000_000_000L;

    private final MemoryBudget memory = new MemoryBudget(MAX_BUFFERED_BYTES, 0, MemoryObserver.NONE);
    private final ManualTimers timers = new ManualTimers(0);
    private final RequestBodyReader bodyReader = new RequestBodyReader(memory, timers);
    private final Undertow server = Undertow.builder()
            .setIoThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange ->
                    bodyReader.receive(exchange, RequestBodyReaderTest::accept, RequestBodyReaderTest::respond))
            .build();
    private final List<Socket> clients = new ArrayList<>();

    private static void accept(HttpServerExchange exchange, BodyReference body) {
        respond(exchange, StatusCodes.OK, "took " + body.bytes().length);
    }

    private static void respond(HttpServerExchange exchange, int status, String text) {
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

    /** Sends the given number of bytes of a large body, and returns the client. */
    private Socket sendPartialBody(int bytes) throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(10_000);
        clients.add(client);
        String head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n";
        client.getOutputStream().write((head + "x".repeat(bytes)).getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    /** Sends a whole large body, and returns the response. */
    private String exchangeFullBody() throws IOException {
        try {
            byte[] response = sendPartialBody(LARGE_BODY_BYTES).getInputStream().readAllBytes();
            return new String(response, StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            // The connection is closed after a rejection while the client still sends, which may lose the response.
            return "";
        }
    }

    @Test
    public void bodyOverMemoryLimitIsRejectedAndMemoryIsReleased() throws Exception {
        Socket first = assertSecondBodyIsRejected();
        first.close();
        assertBodyIsAcceptedEventually();
    }

    /**
     * Sends the most of one large body and then a second one. The server doesn't tell what it has buffered, so the
     * second is repeated until the first is buffered, and the first is repeated if it was rejected meanwhile.
     *
     * @return the client whose body is buffered
     */
    private Socket assertSecondBodyIsRejected() throws IOException {
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
        return first;
    }

    /** Guards against slow clients that keep the memory of all bodies, so that others are rejected. */
    @Test
    public void slowestBodyIsRejectedToMakeRoom() throws Exception {
        Socket first = assertSecondBodyIsRejected();

        runOnIoThread(() -> timers.advance(MORE_THAN_ENOUGH_TIME_NANOS));
        assertBodyIsAcceptedEventually();

        String response = new String(first.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(response, response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: 1\r\n"));
    }

    private void runOnIoThread(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        server.getWorker().getIoThread().execute(() -> {
            task.run();
            done.countDown();
        });
        assertTrue(done.await(10, TimeUnit.SECONDS));
    }

    private void assertBodyIsAcceptedEventually() throws IOException {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        String response = exchangeFullBody();
        while (!response.startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
            assertTrue(response, response.isEmpty() || response.startsWith("HTTP/1.1 503"));
            response = exchangeFullBody();
        }
        assertEquals("took " + LARGE_BODY_BYTES, response.substring(response.lastIndexOf('\n') + 1));
    }
}
