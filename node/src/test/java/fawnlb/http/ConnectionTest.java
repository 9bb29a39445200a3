package fawnlb.http;

import static org.junit.Assert.assertTrue;

import fawnlb.actor.IoTimers;
import fawnlb.actor.IoTurn;
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

public class ConnectionTest {
    private static final int PIECES = 6;
    private static final int PIECE = 16 * 1024;

    private final XnioWorker worker;
    private final List<String> seen = new CopyOnWriteArrayList<>();

    public ConnectionTest() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @After
    public void end() {
        worker.shutdownNow();
    }

    /** Asks for each piece as soon as it has the one before. */
    private final class Eager implements Connection.Call {
        private final String name;
        private final Connection connection;
        private final CountDownLatch begun;
        private final CountDownLatch written;
        private final CountDownLatch whole = new CountDownLatch(1);

        Eager(String name, Connection connection, CountDownLatch begun, CountDownLatch written) {
            this.name = name;
            this.connection = connection;
            this.begun = begun;
            this.written = written;
        }

        @Override
        public void head(Response response) {}

        @Override
        public void body(ByteBuffer bytes) {
            seen.add(name);
            begun.countDown();
            try {
                written.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            connection.more();
        }

        @Override
        public void end(boolean reusable) {
            whole.countDown();
        }

        @Override
        public void broken(Connection.Break how) {
            seen.add(name + " broken");
            whole.countDown();
        }
    }

    private Connection connect(ServerSocket server) throws Exception {
        XnioIoThread thread = worker.getIoThread();
        CompletableFuture<Connection> opened = new CompletableFuture<>();
        Connection.open(
                thread,
                new IoTimers(thread),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                10_000_000_000L,
                opened::complete);
        return opened.get(10, TimeUnit.SECONDS);
    }

    /** An answer that never ends, or that comes faster than it is passed on, is one of many that the thread reads. */
    @Test
    public void aBackendThatSendsWithoutAPauseHoldsUpNobodyElse() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        InetAddress here = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 9, here);
                ServerSocket second = new ServerSocket(0, 9, here)) {
            Connection toTorrent = connect(first);
            Connection toOther = connect(second);
            try (Socket torrent = first.accept();
                    Socket other = second.accept()) {
                Eager torrents = new Eager("torrent", toTorrent, begun, written);
                Eager others = new Eager("other", toOther, new CountDownLatch(1), new CountDownLatch(0));
                // Answers that come before their calls would be nobody's.
                IoTurn.take(worker.getIoThread(), () -> {
                    toTorrent.send(torrents, ByteBuffer.wrap(new byte[] {' '}));
                    toOther.send(others, ByteBuffer.wrap(new byte[] {' '}));
                    return null;
                });
                torrent.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + (1 + PIECES * PIECE) + "\r\n\r\n.").getBytes());
                assertTrue(begun.await(10, TimeUnit.SECONDS));
                torrent.getOutputStream().write(new byte[PIECES * PIECE]);
                other.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n.".getBytes());
                written.countDown();
                assertTrue(others.whole.await(10, TimeUnit.SECONDS));
                assertTrue(torrents.whole.await(10, TimeUnit.SECONDS));
                assertTrue(seen.toString(), seen.indexOf("other") <= 2);
            }
        }
    }

    /** Its end is that of its connection, and one that broke is no end: half an answer would pass for all of it. */
    @Test
    public void resetEndsNoAnswerThatGoesOnToTheConnectionsEnd() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            Connection connection = connect(server);
            Eager call = new Eager("call", connection, new CountDownLatch(1), new CountDownLatch(0));
            try (Socket backend = server.accept()) {
                IoTurn.take(worker.getIoThread(), () -> {
                    connection.send(call, ByteBuffer.wrap(new byte[] {' '}));
                    return null;
                });
                backend.getOutputStream().write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf".getBytes());
                assertTrue(call.begun.await(10, TimeUnit.SECONDS));
                backend.setSoLinger(true, 0);
            }
            assertTrue(call.whole.await(10, TimeUnit.SECONDS));
            assertTrue(seen.toString(), seen.contains("call broken"));
        }
    }
}
