package fawnlb.backend;

import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.memory.MemoryBudget;
import fawnlb.proxy.Backends;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.StreamRegistry;
import fawnlb.stream.StreamTimeouts;
import fawnlb.translation.Dialect;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A backend pool on an event loop of its own, and the listener of its attempts. Methods that touch the pool are to be
 * called in tasks of {@link #execute}.
 */
final class BackendPoolHarness implements Backends.AttemptListener, AutoCloseable {
    static final long SECOND_NANOS = 1_000_000_000;

    private static final int MAX_SOCKETS = 50;
    private static final long WAIT_SECONDS = 10;

    final StreamRegistry streams = new StreamRegistry(StreamTimeouts.defaults(), MemoryBudget.unlimited());
    final EventLoopTimers timers;
    /** Whether the client is still there; read and set on the event loop. */
    boolean isClientConnected = true;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final BackendPool pool;
    private final BlockingQueue<String> attemptEnds = new LinkedBlockingQueue<>();

    BackendPoolHarness(long minRestNanos) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        thread = worker.getIoThread();
        timers = new EventLoopTimers(thread);
        BackendPool.Limits limits =
                new BackendPool.Limits(SECOND_NANOS / 4, SECOND_NANOS, minRestNanos, 1, MAX_SOCKETS, List.of());
        pool = new BackendPool(thread, timers, limits, streams);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    /** Runs a task on the event loop, in one turn. */
    void execute(Runnable task) {
        thread.execute(task);
    }

    void updateBackend(int id, InetSocketAddress address, EndpointPhase phase) {
        pool.updateBackend(EndpointId.ofNumber(id), address, 0, phase, Dialect.CHAT);
    }

    /** Starts an attempt that may take a second, and that may be sent at any time. */
    void startAttempt(int id, String requestId) {
        startAttempt(id, requestId, timers.now() + SECOND_NANOS, Long.MAX_VALUE);
    }

    void startAttempt(int id, String requestId, long responseDeadlineNanos, long sendDeadlineNanos) {
        OutboundRequest payload = new OutboundRequest(
                Dialect.CHAT,
                "/",
                requestId,
                null,
                true,
                TestBodies.of(Dialect.CHAT, new byte[2], null),
                OutboundRequest.ResponseSummary.withoutUsage());
        IncomingRequest request = new IncomingRequest(0, 0, 1, 0, SECOND_NANOS, 1, 0, 1, false, payload);
        pool.startAttempt(EndpointId.ofNumber(id), request, responseDeadlineNanos, sendDeadlineNanos, true, this);
    }

    /** Waits for the next attempt to end, and returns its end's label; null if none ends within ten seconds. */
    String awaitAttemptEnd() throws InterruptedException {
        return attemptEnds.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    boolean hasNoFurtherAttemptEnd() {
        return attemptEnds.isEmpty();
    }

    @Override
    public boolean isStillWanted() {
        return isClientConnected;
    }

    @Override
    public void onResponseStarted(ResponseSource source) {}

    @Override
    public void onClientErrorResponse(ResponseSource source) {}

    @Override
    public void onClientStalled() {}

    @Override
    public void onAttemptEnded(AttemptEnd end, long cachedTokens, List<Double> loadReport) {
        attemptEnds.add(end.label());
    }

    // ---- A backend on a plain socket -----------------------------------------------------------------------

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
    }

    static InetSocketAddress addressOf(ServerSocket server) {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns the request id of the next request's head, in which it stands on the third line. */
    static String readRequestId(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        in.readLine();
        in.readLine();
        String header = in.readLine();
        assertTrue(header, header.startsWith("X-Request-Id: "));
        return header.substring("X-Request-Id: ".length());
    }

    /** Reads the head of a request up to the given header, and returns the header's value. */
    static String readHeader(Socket socket, String name) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String prefix = name + ": ";
        String line = in.readLine();
        while (!line.startsWith(prefix)) {
            line = in.readLine();
        }
        return line.substring(prefix.length());
    }
}
