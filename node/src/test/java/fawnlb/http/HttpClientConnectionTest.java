package fawnlb.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.IoThread;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;

public class HttpClientConnectionTest {
    private static final int CHUNK_COUNT = 6;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final long CONNECT_TIMEOUT_NANOS = 10_000_000_000L;

    @Rule
    public final IoThread ioThread = new IoThread();

    private final List<String> events = new CopyOnWriteArrayList<>();

    /** Requests each part of the body as soon as it has the one before. */
    private class ImmediateReader implements HttpClientConnection.ResponseHandler {
        private final String name;
        private final HttpClientConnection connection;
        final CountDownLatch firstPartReceived = new CountDownLatch(1);
        final CountDownLatch framingReceived = new CountDownLatch(1);
        final CountDownLatch ended = new CountDownLatch(1);

        ImmediateReader(String name, HttpClientConnection connection) {
            this.name = name;
            this.connection = connection;
        }

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onBody(ByteBuffer bytes) {
            events.add(name);
            firstPartReceived.countDown();
            beforeNextPart();
            connection.resumeReading();
        }

        void beforeNextPart() {}

        @Override
        public void onFraming(int wellFormedBytes) {
            events.add(name + " framing");
            framingReceived.countDown();
        }

        @Override
        public void onComplete(boolean reusable) {
            ended.countDown();
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure failure) {
            events.add(name + " failed");
            ended.countDown();
        }
    }

    /** Blocks the I/O thread in each part of the body until the test goes on. */
    private final class BlockingReader extends ImmediateReader {
        private final CountDownLatch mayContinue = new CountDownLatch(1);

        BlockingReader(String name, HttpClientConnection connection) {
            super(name, connection);
        }

        @Override
        void beforeNextPart() {
            try {
                mayContinue.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
    }

    private HttpClientConnection connect(ServerSocket server) throws Exception {
        CompletableFuture<HttpClientConnection> connected = new CompletableFuture<>();
        HttpClientConnection.connect(
                ioThread.thread(),
                new EventLoopTimers(ioThread.thread()),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                CONNECT_TIMEOUT_NANOS,
                connected::complete);
        return connected.get(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static void sendRequest(ImmediateReader reader) {
        reader.connection.send(reader, ByteBuffer.wrap(new byte[] {' '}));
    }

    private static void write(Socket backend, String text) throws IOException {
        backend.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertTrue(latch.await(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A response that never ends, or that comes faster than it is passed on, must not occupy the thread. */
    @Test
    public void fastBackendDoesNotDelayOtherConnections() throws Exception {
        try (ServerSocket fastServer = listen();
                ServerSocket otherServer = listen()) {
            BlockingReader fastReader = new BlockingReader("fast", connect(fastServer));
            ImmediateReader otherReader = new ImmediateReader("other", connect(otherServer));
            try (Socket fast = fastServer.accept();
                    Socket other = otherServer.accept()) {
                ioThread.run(() -> {
                    sendRequest(fastReader);
                    sendRequest(otherReader);
                });
                write(fast, "HTTP/1.1 200 OK\r\nContent-Length: " + (1 + CHUNK_COUNT * CHUNK_BYTES) + "\r\n\r\n.");
                await(fastReader.firstPartReceived);
                fast.getOutputStream().write(new byte[CHUNK_COUNT * CHUNK_BYTES]);
                write(other, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n.");
                fastReader.mayContinue.countDown();
                await(otherReader.ended);
                await(fastReader.ended);
                assertTrue(events.toString(), events.indexOf("other") <= 2);
            }
        }
    }

    /** Guards against answers that are cut off as silent while their backend writes a chunk's size slowly. */
    @Test
    public void framingWithoutContentIsReported() throws Exception {
        try (ServerSocket server = listen()) {
            ImmediateReader reader = new ImmediateReader("call", connect(server));
            try (Socket backend = server.accept()) {
                ioThread.run(() -> sendRequest(reader));
                write(backend, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
                await(reader.firstPartReceived);
                assertEquals(List.of("call"), events);

                write(backend, "0000");
                await(reader.framingReceived);
                write(backend, "1\r\nb\r\n0\r\n\r\n");
                await(reader.ended);
            }
            assertEquals(List.of("call", "call framing", "call"), events);
        }
    }

    /** The response ends with its connection. A reset is no such end, or half of a response would look complete. */
    @Test
    public void resetFailsResponseDelimitedByClose() throws Exception {
        try (ServerSocket server = listen()) {
            ImmediateReader reader = new ImmediateReader("call", connect(server));
            try (Socket backend = server.accept()) {
                ioThread.run(() -> sendRequest(reader));
                write(backend, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
                await(reader.firstPartReceived);
                backend.setSoLinger(true, 0);
            }
            await(reader.ended);
            assertTrue(events.toString(), events.contains("call failed"));
        }
    }
}
