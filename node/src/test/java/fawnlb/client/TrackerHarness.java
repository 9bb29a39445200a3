package fawnlb.client;

import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.IoThread;
import fawnlb.memory.MemoryBudget;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.rules.ExternalResource;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * A server whose connections are tracked, and its clients. A connection is accepted by the kernel when its client
 * connects, and passed to the tracker by {@link #track}.
 */
final class TrackerHarness extends ExternalResource {
    static final long IDLE_TIMEOUT_NANOS = 1000;
    /** Longer than two idle timeouts and some reads of the ticking clock. */
    static final long REQUEST_HEAD_TIMEOUT_NANOS = 3000;

    static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String RESPONSE_BODY = "served\n";

    private final IoThread ioThread = new IoThread();
    private final TickingTimers timers = new TickingTimers();
    private final HttpOpenListener requestReader = new HttpOpenListener(new DefaultByteBufferPool(true, 2048, 9, 0));
    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    private volatile Consumer<ClientConnectionTracker.RequestAdmission> admissionObserver = admission -> {};
    private ClientConnectionTracker tracker;
    private List<ConnectionQuota> quotas;
    private AcceptingChannel<StreamConnection> server;

    @Override
    protected void before() throws Throwable {
        ioThread.before();
        limitConnections(1);
        handleRequests(exchange -> exchange.getResponseSender().send(RESPONSE_BODY));
        server = ioThread.worker()
                .createStreamConnectionServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ChannelListeners.<StreamConnection>openListenerAdapter(accepted::add),
                        OptionMap.EMPTY);
        server.resumeAccepts();
    }

    @Override
    protected void after() {
        ioThread.after();
    }

    /** Replaces the tracker. Must be called before the first connection. */
    void limitConnections(int maxConnections) {
        limit(maxConnections, MemoryBudget.unlimited());
    }

    /** Replaces the tracker. Must be called before the first connection. */
    void limit(int maxConnections, MemoryBudget memory) {
        tracker = new ClientConnectionTracker(
                new ClientConnectionTracker.Limits(maxConnections, IDLE_TIMEOUT_NANOS, REQUEST_HEAD_TIMEOUT_NANOS),
                timers,
                memory,
                connections -> false);
        quotas = tracker.divideAmongFronts("front");
    }

    /** Divides the connections among two listeners. Must be called before the first connection. */
    void divideAmongTwoFronts() {
        quotas = tracker.divideAmongFronts("first", "second");
    }

    /** The quota of a listener. */
    ConnectionQuota quota(int listener) {
        return quotas.get(listener);
    }

    /** Replaces the handler of requests, which is called after the tracker's. */
    void handleRequests(HttpHandler handler) {
        requestReader.setRootHandler(exchange -> {
            admissionObserver.accept(tracker.onRequestStarted(exchange));
            handler.handleRequest(exchange);
        });
    }

    /** Sets what learns of the tracker's decision on each request; the handler is called whatever it is. */
    void observeAdmissions(Consumer<ClientConnectionTracker.RequestAdmission> observer) {
        admissionObserver = observer;
    }

    ClientConnectionTracker tracker() {
        return tracker;
    }

    IoThread ioThread() {
        return ioThread;
    }

    TickingTimers timers() {
        return timers;
    }

    /** Moves the clock on and lets the tracker close expired connections. Must be called on the I/O thread. */
    void advanceAndCheckTimeouts(long nanos) {
        timers.advance(nanos);
        timers.runLastTask();
    }

    Socket connect() throws IOException {
        Socket client = new Socket();
        client.connect(server.getLocalAddress());
        client.setSoTimeout(10_000);
        return client;
    }

    /** The next connection that the kernel has accepted. */
    StreamConnection nextAccepted() throws InterruptedException {
        return accepted.poll(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Passes a connection to the tracker. Must be called on the I/O thread. */
    void track(StreamConnection connection) {
        track(connection, 0);
    }

    /** Passes a connection to the tracker as one of a listener. Must be called on the I/O thread. */
    void track(StreamConnection connection, int listener) {
        tracker.accept(connection, quotas.get(listener), 0, requestReader);
    }

    /** Passes the next accepted connection to the tracker. */
    StreamConnection trackNext() throws Exception {
        StreamConnection connection = nextAccepted();
        ioThread.run(() -> track(connection));
        return connection;
    }

    static void sendRequest(Socket client) throws IOException {
        send(client, REQUEST);
    }

    static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends text while the I/O thread is blocked, which then runs a task before it reads the text. */
    void sendUnread(Socket client, String text, Runnable task) throws Exception {
        ioThread.blockDuring(() -> send(client, text), task);
    }

    static void assertServed(Socket client) throws IOException {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith(RESPONSE_BODY)) {
            int c = client.getInputStream().read();
            assertTrue("closed after '" + response + "'", c >= 0);
            response.append((char) c);
        }
        assertTrue(response.toString(), response.toString().startsWith("HTTP/1.1 200"));
    }

    static void assertExchanged(Socket client) throws IOException {
        sendRequest(client);
        assertServed(client);
    }
}
