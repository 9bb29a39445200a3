package fawnlb.http;

import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.EventLoopCall;
import fawnlb.eventloop.EventLoopTimers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

public class HttpClientConnectionTest {
    private static final int CHUNK_COUNT = 6;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final XnioWorker worker;
    private final List<String> events = new CopyOnWriteArrayList<>();

    public HttpClientConnectionTest() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @After
    public void stopWorker() {
        worker.shutdownNow();
    }

    /** Asks for each piece as soon as it has the one before. */
    private final class ImmediateReader implements HttpClientConnection.ResponseHandler {
        private final String name;
        private final HttpClientConnection connection;
        private final CountDownLatch firstChunkReceived;
        private final CountDownLatch mayContinue;
        private final CountDownLatch ended = new CountDownLatch(1);

        ImmediateReader(String name, HttpClientConnection connection, CountDownLatch begun, CountDownLatch written) {
            this.name = name;
            this.connection = connection;
            this.firstChunkReceived = begun;
            this.mayContinue = written;
        }

        @Override
        public void onHead(ResponseHead response) {}

        @Override
        public void onBody(ByteBuffer bytes) {
            events.add(name);
            firstChunkReceived.countDown();
            try {
                mayContinue.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.resumeReading();
        }

        @Override
        public void onComplete(boolean reusable) {
            ended.countDown();
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure how) {
            events.add(name + " broken");
            ended.countDown();
        }
    }

    private HttpClientConnection connect(ServerSocket server) throws Exception {
        XnioIoThread thread = worker.getIoThread();
        CompletableFuture<HttpClientConnection> opened = new CompletableFuture<>();
        HttpClientConnection.connect(
                thread,
                new EventLoopTimers(thread),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                10_000_000_000L,
                opened::complete);
        return opened.get(10, TimeUnit.SECONDS);
    }

    /** An answer that never ends, or that comes faster than it is passed on, is one of many that the thread reads. */
    @Test
    public void fastBackendDoesNotDelayOtherConnections() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 9, loopback);
                ServerSocket second = new ServerSocket(0, 9, loopback)) {
            HttpClientConnection fastConnection = connect(first);
            HttpClientConnection otherConnection = connect(second);
            try (Socket fast = first.accept();
                    Socket other = second.accept()) {
                ImmediateReader fastCall = new ImmediateReader("torrent", fastConnection, begun, written);
                ImmediateReader otherCall =
                        new ImmediateReader("other", otherConnection, new CountDownLatch(1), new CountDownLatch(0));
                // Answers that come before their calls would be nobody's.
                EventLoopCall.callAndWait(worker.getIoThread(), () -> {
                    fastConnection.send(fastCall, ByteBuffer.wrap(new byte[] {' '}));
                    otherConnection.send(otherCall, ByteBuffer.wrap(new byte[] {' '}));
                    return null;
                });
                fast.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + (1 + CHUNK_COUNT * CHUNK_BYTES) + "\r\n\r\n.")
                                .getBytes());
                assertTrue(begun.await(10, TimeUnit.SECONDS));
                fast.getOutputStream().write(new byte[CHUNK_COUNT * CHUNK_BYTES]);
                other.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n.".getBytes());
                written.countDown();
                assertTrue(otherCall.ended.await(10, TimeUnit.SECONDS));
                assertTrue(fastCall.ended.await(10, TimeUnit.SECONDS));
                assertTrue(events.toString(), events.indexOf("other") <= 2);
            }
        }
    }

    /** Its end is that of its connection, and one that broke is no end: half an answer would pass for all of it. */
    @Test
    public void resetFailsResponseDelimitedByClose() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            HttpClientConnection connection = connect(server);
            ImmediateReader call =
                    new ImmediateReader("call", connection, new CountDownLatch(1), new CountDownLatch(0));
            try (Socket backend = server.accept()) {
                EventLoopCall.callAndWait(worker.getIoThread(), () -> {
                    connection.send(call, ByteBuffer.wrap(new byte[] {' '}));
                    return null;
                });
                backend.getOutputStream().write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf".getBytes());
                assertTrue(call.firstChunkReceived.await(10, TimeUnit.SECONDS));
                backend.setSoLinger(true, 0);
            }
            assertTrue(call.ended.await(10, TimeUnit.SECONDS));
            assertTrue(events.toString(), events.contains("call broken"));
        }
    }
}
