package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.EventLoopCall;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
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
public class WatchHeartbeatTest {
    private static final String FULL_LIST_LINE = "{\"revision\":3,\"complete\":true,\"members\":[]}\n";

    private final BlockingQueue<EndpointUpdateKind> receivedUpdates = new LinkedBlockingQueue<>();
    private final ManualTimers timers = new ManualTimers();
    private XnioWorker worker;
    private ServerSocket server;
    private DiscoveryClient client;
    private Socket watchSocket;

    /** A clock that the test moves; all of it runs on the I/O thread. */
    private static final class ManualTimers implements Timers {
        private record ScheduledTask(long dueAt, long order, Runnable task) {}

        private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::order));
        private long now;
        private long nextOrder;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer schedule(long nanos, Runnable task) {
            ScheduledTask entry = new ScheduledTask(now + nanos, nextOrder++, task);
            scheduled.add(entry);
            return () -> scheduled.remove(entry);
        }

        Void advance(long nanos) {
            long until = now + nanos;
            while (!scheduled.isEmpty() && scheduled.peek().dueAt() <= until) {
                ScheduledTask next = scheduled.poll();
                now = next.dueAt();
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
        client = new DiscoveryClient(
                worker.getIoThread(),
                timers,
                new Mailbox(Runnable::run, 99),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                (kind, list) -> receivedUpdates.add(kind));
        runOnIoThread(client::watchEndpoints);
        watchSocket = server.accept();
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, receivedUpdates.poll(10, TimeUnit.SECONDS));
    }

    @After
    public void stop() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    private void runOnIoThread(Runnable task) throws InterruptedException {
        EventLoopCall.callAndWait(worker.getIoThread(), () -> {
            task.run();
            return null;
        });
    }

    private void advanceTime(long nanos) throws InterruptedException {
        EventLoopCall.callAndWait(worker.getIoThread(), () -> timers.advance(nanos));
    }

    private void write(String text) throws IOException {
        watchSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void writeChunk(String text) throws IOException {
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @Test
    public void missedHeartbeatIsReportedAsFailedCall() throws Exception {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS - 1);
        assertTrue(receivedUpdates.isEmpty());
        advanceTime(1);
        assertEquals(EndpointUpdateKind.FAILED, receivedUpdates.poll());
    }

    @Test
    public void silentWatchResumesWhenItSendsBeforeTheNextCall() throws Exception {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        assertEquals(EndpointUpdateKind.FAILED, receivedUpdates.poll());
        writeChunk("\n");
        assertEquals("nothing was missed", EndpointUpdateKind.DELTA, receivedUpdates.poll(10, TimeUnit.SECONDS));
        writeChunk(FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, receivedUpdates.poll(10, TimeUnit.SECONDS));
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        assertEquals("it is watched as before", EndpointUpdateKind.FAILED, receivedUpdates.poll());
    }

    /** SIGHUP while the next call is due soon: the call that goes to the new address keeps its turn there. */
    @Test
    public void watchOpenedByAddressChangeIsNotReplacedWhileAwaitingItsAnswer() throws Exception {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        assertEquals(EndpointUpdateKind.FAILED, receivedUpdates.poll());
        try (ServerSocket next = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout(10_000);
            client.changeAddress(new InetSocketAddress(next.getInetAddress(), next.getLocalPort()));
            runOnIoThread(() -> {});
            watchSocket = next.accept();
            runOnIoThread(client::watchEndpoints);
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(FULL_LIST_LINE);
            assertEquals(EndpointUpdateKind.FULL, receivedUpdates.poll(10, TimeUnit.SECONDS));
        }
    }

    @Test
    public void nextCallReplacesSilentWatch() throws Exception {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        runOnIoThread(client::watchEndpoints);
        try (Socket next = server.accept()) {
            watchSocket.setSoTimeout(10_000);
            watchSocket.getInputStream().readAllBytes();
            assertFalse("the silent one is closed, the next one is not", next.isClosed());
        }
    }
}
