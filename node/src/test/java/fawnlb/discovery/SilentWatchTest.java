package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.actor.IoTurn;
import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.ListKind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A watch that misses a heartbeat: another call is made in time, and a false alarm costs nothing. */
public class SilentWatchTest {
    private static final String LINE = "{\"revision\":3,\"complete\":true,\"members\":[]}\n";

    private final BlockingQueue<ListKind> heard = new LinkedBlockingQueue<>();
    private final ByHand timers = new ByHand();
    private XnioWorker worker;
    private ServerSocket server;
    private Discovery discovery;
    private Socket watch;

    /** A clock that the test moves; all of it runs on the I/O thread. */
    private static final class ByHand implements Timers {
        private record Due(long at, long order, Runnable task) {}

        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private long now;
        private long order;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long nanos, Runnable task) {
            Due entry = new Due(now + nanos, order++, task);
            due.add(entry);
            return () -> due.remove(entry);
        }

        Void pass(long nanos) {
            long until = now + nanos;
            while (!due.isEmpty() && due.peek().at() <= until) {
                Due next = due.poll();
                now = next.at();
                next.task().run();
            }
            now = until;
            return null;
        }
    }

    @Before
    public void openWatch() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        discovery = new Discovery(
                worker.getIoThread(),
                timers,
                new Mailbox(Runnable::run, 99),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                (kind, list) -> heard.add(kind));
        onIoThread(discovery::subscribe);
        watch = server.accept();
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(LINE);
        assertEquals(ListKind.FULL, heard.poll(10, TimeUnit.SECONDS));
    }

    @After
    public void end() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    private void onIoThread(Runnable task) throws InterruptedException {
        IoTurn.take(worker.getIoThread(), () -> {
            task.run();
            return null;
        });
    }

    private void pass(long nanos) throws InterruptedException {
        IoTurn.take(worker.getIoThread(), () -> timers.pass(nanos));
    }

    private void write(String text) throws IOException {
        watch.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void writeChunk(String text) throws IOException {
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @Test
    public void missedHeartbeatCountsAsFailedCall() throws Exception {
        pass(Discovery.SILENCE - 1);
        assertTrue(heard.isEmpty());
        pass(1);
        assertEquals(ListKind.FAILED, heard.poll());
    }

    @Test
    public void silentWatchThatSpeaksBeforeTheNextCallGoesOn() throws Exception {
        pass(Discovery.SILENCE);
        assertEquals(ListKind.FAILED, heard.poll());
        writeChunk("\n");
        assertEquals("nothing was missed", ListKind.DELTA, heard.poll(10, TimeUnit.SECONDS));
        writeChunk(LINE);
        assertEquals(ListKind.FULL, heard.poll(10, TimeUnit.SECONDS));
        pass(Discovery.SILENCE);
        assertEquals("it is watched as before", ListKind.FAILED, heard.poll());
    }

    /** SIGHUP while the next call is due soon: the call that goes to the new address keeps its turn there. */
    @Test
    public void callThatAMoveHasMadeIsNotMadeAgainWhileItIsOut() throws Exception {
        pass(Discovery.SILENCE);
        assertEquals(ListKind.FAILED, heard.poll());
        try (ServerSocket next = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout(10_000);
            discovery.move(new InetSocketAddress(next.getInetAddress(), next.getLocalPort()));
            onIoThread(() -> {});
            watch = next.accept();
            onIoThread(discovery::subscribe);
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(LINE);
            assertEquals(ListKind.FULL, heard.poll(10, TimeUnit.SECONDS));
        }
    }

    @Test
    public void nextCallReplacesSilentWatch() throws Exception {
        pass(Discovery.SILENCE);
        onIoThread(discovery::subscribe);
        try (Socket next = server.accept()) {
            watch.setSoTimeout(10_000);
            watch.getInputStream().readAllBytes();
            assertFalse("the silent one is closed, the next one is not", next.isClosed());
        }
    }
}
