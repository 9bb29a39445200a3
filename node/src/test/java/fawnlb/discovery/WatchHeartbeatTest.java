package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.EventLoopCall;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ManualTimers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private final BlockingQueue<EndpointUpdateKind> receivedUpdates = new LinkedBlockingQueue<>();
    /** Used on the I/O thread alone. */
    private final ManualTimers timers = new ManualTimers(0);

    private XnioWorker worker;
    private ServerSocket server;
    private DiscoveryClient client;
    private Socket watchSocket;

    @Before
    public void openWatch() throws IOException, InterruptedException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = openServer();
        client = new DiscoveryClient(
                worker.getIoThread(),
                timers,
                new Mailbox(Runnable::run, 99),
                addressOf(server),
                (kind, list) -> receivedUpdates.add(kind));
        runOnIoThread(client::watchEndpoints);
        watchSocket = server.accept();
        answerWithFullList();
    }

    @After
    public void stop() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    private static ServerSocket openServer() throws IOException {
        ServerSocket opened = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        opened.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return opened;
    }

    private static InetSocketAddress addressOf(ServerSocket server) {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private void runOnIoThread(Runnable task) throws InterruptedException {
        EventLoopCall.callAndWait(worker.getIoThread(), () -> {
            task.run();
            return null;
        });
    }

    private void advanceTime(long nanos) throws InterruptedException {
        runOnIoThread(() -> timers.advance(nanos));
    }

    private void write(String text) throws IOException {
        watchSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void writeChunk(String text) throws IOException {
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void answerWithFullList() throws IOException, InterruptedException {
        write(RESPONSE_HEAD);
        writeChunk(FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, awaitUpdate());
    }

    private EndpointUpdateKind awaitUpdate() throws InterruptedException {
        return receivedUpdates.poll(10, TimeUnit.SECONDS);
    }

    private void missHeartbeat() throws InterruptedException {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS);
        assertEquals(EndpointUpdateKind.FAILED, receivedUpdates.poll());
    }

    @Test
    public void missedHeartbeatIsReportedAsFailedCall() throws InterruptedException {
        advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS - 1);
        assertTrue(receivedUpdates.isEmpty());

        advanceTime(1);

        assertEquals(EndpointUpdateKind.FAILED, receivedUpdates.poll());
    }

    @Test
    public void silentWatchResumesWhenItSendsBeforeTheNextCall() throws IOException, InterruptedException {
        missHeartbeat();

        writeChunk("\n");

        assertEquals("no change was missed", EndpointUpdateKind.DELTA, awaitUpdate());
        writeChunk(FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, awaitUpdate());
        missHeartbeat();
    }

    /**
     * SIGHUP while the next call is due soon: the call that goes to the new address keeps its place in the queue there.
     */
    @Test
    public void watchOpenedByAddressChangeIsNotReplacedWhileAwaitingItsAnswer()
            throws IOException, InterruptedException {
        missHeartbeat();
        try (ServerSocket next = openServer()) {
            client.changeAddress(addressOf(next));
            runOnIoThread(() -> {});
            watchSocket = next.accept();

            runOnIoThread(client::watchEndpoints);

            answerWithFullList();
        }
    }

    @Test
    public void nextCallReplacesSilentWatch() throws IOException, InterruptedException {
        missHeartbeat();

        runOnIoThread(client::watchEndpoints);

        try (Socket next = server.accept()) {
            watchSocket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            watchSocket.getInputStream().readAllBytes();
            assertFalse("the silent watch is closed, the next one is not", next.isClosed());
        }
    }
}
