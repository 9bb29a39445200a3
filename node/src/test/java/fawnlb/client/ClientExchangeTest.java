package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.Mailbox;
import fawnlb.proxy.ResponseSource;
import io.undertow.server.HttpServerExchange;
import java.io.InputStream;
import java.lang.ref.WeakReference;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

public class ClientExchangeTest {
    private static final int MAILBOX_CAPACITY = 9;
    private static final long TIMEOUT_SECONDS = 10;
    /** More than a few reads bring, and less than the kernel takes at once. */
    private static final int UNREAD_BYTES = 60_000;

    private static final int LARGE_CHUNK_BYTES = 200_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String CLOSING_REQUEST = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    private static ClientExchange createExchange(HttpServerExchange exchange) {
        Mailbox mailbox = new Mailbox(exchange.getIoThread(), MAILBOX_CAPACITY);
        return new ClientExchange(exchange, mailbox, new TextResponseFormatter(), null);
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void disconnectedClientIsNotPresentBeforeItsCloseIsRead() throws Exception {
        assertDisconnectIsDetected(REQUEST);
    }

    @Test
    public void disconnectedClientWithPipelinedRequestIsNotPresentBeforeItsCloseIsRead() throws Exception {
        assertDisconnectIsDetected(REQUEST + "GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /**
     * Blocks the I/O thread while a client disconnects, as a busy processor would. The thread doesn't poll its sockets
     * meanwhile, so that only the exchange itself can detect the disconnect.
     */
    private static void assertDisconnectIsDetected(String requests) throws Exception {
        CountDownLatch presenceChecked = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        CompletableFuture<String> presence = new CompletableFuture<>();
        try (ExchangeServer server = new ExchangeServer(exchange -> {
            AtomicInteger cancellations = new AtomicInteger();
            ClientExchange client = createExchange(exchange);
            client.attach(cancellations::incrementAndGet);
            String before = "present " + client.isConnected();
            presenceChecked.countDown();
            awaitUninterrupted(disconnected);
            boolean after = isConnectedUntilDetected(client);
            presence.complete(before + ", then " + after + ", told " + cancellations);
        })) {
            Socket client = server.connect();
            ExchangeServer.send(client, requests);
            presenceChecked.await();
            client.close();
            disconnected.countDown();
            assertEquals("present true, then false, told 1", presence.get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests that are forwarded after their client has closed behind bytes that nobody had read. */
    @Test
    public void closeBehindMuchUnreadDataIsDetectedByOneCheck() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        CompletableFuture<Boolean> presence = new CompletableFuture<>();
        try (ExchangeServer server = new ExchangeServer(exchange -> {
            ClientExchange client = createExchange(exchange);
            client.attach(() -> {});
            received.countDown();
            awaitUninterrupted(disconnected);
            presence.complete(client.isConnected());
        })) {
            Socket client = server.connect();
            ExchangeServer.send(client, REQUEST);
            received.await();
            ExchangeServer.send(client, "x".repeat(UNREAD_BYTES));
            client.close();
            disconnected.countDown();
            assertEquals(false, presence.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Asks until the close has passed through the kernel, or the timeout has passed. */
    private static boolean isConnectedUntilDetected(ClientExchange client) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        boolean connected = client.isConnected();
        while (connected && System.nanoTime() < end) {
            connected = client.isConnected();
        }
        return connected;
    }

    /** Connections that kept all exchanges which they had carried filled a heap in 50 s of an overloaded day. */
    @Test
    public void connectionReleasesFinishedExchanges() throws Exception {
        int requests = 20;
        List<WeakReference<ClientExchange>> exchanges = new CopyOnWriteArrayList<>();
        try (ExchangeServer server = new ExchangeServer(exchange -> {
                    ClientExchange client = createExchange(exchange);
                    exchanges.add(new WeakReference<>(client));
                    client.attach(() -> {});
                    client.sendRejection(null, 1);
                });
                Socket client = server.connect()) {
            for (int i = 0; i < requests; i++) {
                ExchangeServer.send(client, REQUEST);
                readRejection(client.getInputStream());
            }
            long reachable = countReachable(exchanges, 2);
            assertTrue("kept " + reachable + " of " + requests, reachable <= 2);
        }
    }

    /** Sends one large chunk, and then nothing. */
    private static final class OneChunkSource implements ResponseSource {
        private final CountDownLatch written = new CountDownLatch(1);
        private volatile WeakReference<byte[]> chunk;

        @Override
        public void streamTo(Sink sink) {
            byte[] bytes = new byte[LARGE_CHUNK_BYTES];
            chunk = new WeakReference<>(bytes);
            sink.onChunk(ByteBuffer.wrap(bytes));
        }

        @Override
        public void requestNextChunk() {
            written.countDown();
        }

        @Override
        public void onUnsentBytes(int unsentBytes) {}

        @Override
        public void onSinkClosed() {}
    }

    /** Guards against chunks that connections kept reachable after their memory had been released. */
    @Test
    public void connectionReleasesChunkThatItsClientHasRead() throws Exception {
        OneChunkSource source = new OneChunkSource();
        try (ExchangeServer server = new ExchangeServer(exchange -> {
                    ClientExchange client = createExchange(exchange);
                    client.attach(() -> {});
                    client.streamResponse(source);
                });
                Socket client = server.connect()) {
            ExchangeServer.send(client, REQUEST);
            assertEquals(LARGE_CHUNK_BYTES, client.getInputStream().readNBytes(LARGE_CHUNK_BYTES).length);
            assertTrue(source.written.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

            assertEquals(0, countReachable(List.of(source.chunk), 0));
        }
    }

    private static void readRejection(InputStream input) throws Exception {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("no\n")) {
            response.append((char) input.read());
        }
    }

    /** Collects garbage until at most {@code expected} references are left, or the timeout has passed. */
    private static <T> long countReachable(List<WeakReference<T>> references, long expected) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        long reachable = references.size();
        while (reachable > expected && System.nanoTime() < end) {
            System.gc();
            reachable = references.stream()
                    .filter(reference -> reference.get() != null)
                    .count();
        }
        return reachable;
    }

    /** Throws at the start of a streamed response. */
    private static final class ThrowingResponseFormatter extends TextResponseFormatter {
        @Override
        public String backendContentType() {
            throw new IllegalStateException("meant to fail");
        }
    }

    private static final ResponseSource EMPTY_SOURCE = new ResponseSource() {
        @Override
        public void streamTo(Sink sink) {}

        @Override
        public void requestNextChunk() {}

        @Override
        public void onUnsentBytes(int unsentBytes) {}

        @Override
        public void onSinkClosed() {}
    };

    @Test
    public void clientIsAnsweredWhenResponseStartThrows() throws Exception {
        assertRejectedAndCancelled(new Mailbox(Runnable::run, MAILBOX_CAPACITY));
    }

    @Test
    public void clientIsAnsweredWhenMailboxIsFull() throws Exception {
        assertRejectedAndCancelled(new Mailbox(Runnable::run, 0));
    }

    private static void assertRejectedAndCancelled(Mailbox mailbox) throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        try (ExchangeServer server = new ExchangeServer(exchange -> {
                    ClientExchange client =
                            new ClientExchange(exchange, mailbox, new ThrowingResponseFormatter(), null);
                    client.attach(cancelled::countDown);
                    client.streamResponse(EMPTY_SOURCE);
                });
                Socket client = server.connect()) {
            ExchangeServer.send(client, CLOSING_REQUEST);
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response, response.startsWith("HTTP/1.1 503") && response.endsWith("no\n"));
            assertTrue("the attempt is cancelled", cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
