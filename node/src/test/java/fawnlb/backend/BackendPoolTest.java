package fawnlb.backend;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopTimers;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

public class BackendPoolTest {
    private static final int BACKEND_COUNT = 50;
    private static final long SECOND_NANOS = 1_000_000_000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final EventLoopTimers timers;
    private final StreamRegistry streams = new StreamRegistry(StreamTimeouts.defaults());
    private BackendPool pool;
    private final BlockingQueue<String> attemptEnds = new LinkedBlockingQueue<>();
    /** Whether the client is still there; asked and set on the I/O thread. */
    private boolean clientConnected = true;

    private final Backends.AttemptListener report = new Backends.AttemptListener() {
        @Override
        public boolean isStillWanted() {
            return clientConnected;
        }

        @Override
        public void onResponseStarted(ResponseSource source) {}

        @Override
        public void onClientErrorResponse(ResponseSource source) {}

        @Override
        public void onClientStalled() {}

        @Override
        public void onAttemptEnded(AttemptEnd ending, long kept, List<Double> load) {
            attemptEnds.add(ending.label());
        }
    };

    public BackendPoolTest() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        thread = worker.getIoThread();
        timers = new EventLoopTimers(thread);
        pool = createPool(0);
    }

    private BackendPool createPool(long minRestNanos) {
        return new BackendPool(
                thread,
                timers,
                new BackendPool.Limits(SECOND_NANOS / 4, SECOND_NANOS, minRestNanos, 1, 50, List.of()),
                streams);
    }

    @After
    public void stopWorker() {
        worker.shutdownNow();
    }

    private void startAttempt(int id, long sendDeadlineNanos, String requestId) {
        startAttempt(id, timers.now() + SECOND_NANOS, sendDeadlineNanos, requestId);
    }

    private void startAttempt(int id, long responseDeadlineNanos, long sendDeadlineNanos, String requestId) {
        pool.startAttempt(
                id,
                new IncomingRequest(
                        0,
                        0,
                        1,
                        0,
                        SECOND_NANOS,
                        1,
                        0,
                        1,
                        false,
                        new OutboundRequest(
                                Dialect.CHAT,
                                "/",
                                requestId,
                                null,
                                true,
                                new byte[2],
                                null,
                                new OutboundRequest.ResponseSummary(false))),
                responseDeadlineNanos,
                sendDeadlineNanos,
                true,
                report);
    }

    /** Long days replace backends all the time: one that left with an attempt on its way was kept for good. */
    @Test
    public void removedBackendIsForgottenWhenItsLastAttemptEnds() throws Exception {
        thread.execute(() -> {
            for (int id = 1; id <= BACKEND_COUNT; id++) {
                InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
                pool.updateBackend(id, address, 0, EndpointPhase.READY, Dialect.CHAT);
                startAttempt(id, Long.MAX_VALUE, "i" + id);
                pool.updateBackend(id, address, 0, EndpointPhase.GONE, Dialect.CHAT);
            }
        });
        for (int i = 0; i < BACKEND_COUNT; i++) {
            assertTrue(attemptEnds.poll(10, TimeUnit.SECONDS) != null);
        }
        CompletableFuture<Integer> kept = new CompletableFuture<>();
        thread.execute(() -> kept.complete(streams.statistics().size()));
        assertEquals(0, (int) kept.get(10, TimeUnit.SECONDS));
    }

    /**
     * What becomes of an attempt whose connection comes up when this has happened; the next one is what the backend
     * reads.
     */
    private void assertNotSentAfter(long sendDeadlineNanos, boolean clientStays, EndpointPhase... phases)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            // All in one turn of the thread: the connect is on its way, and can't come up before its end.
            thread.execute(() -> {
                pool.updateBackend(1, address, 0, EndpointPhase.READY, Dialect.CHAT);
                startAttempt(1, sendDeadlineNanos, "early");
                clientConnected = clientStays;
                for (EndpointPhase phase : phases) {
                    pool.updateBackend(1, address, 0, phase, Dialect.CHAT);
                }
            });
            assertEquals("not-sent", attemptEnds.poll(10, TimeUnit.SECONDS));
            thread.execute(() -> {
                clientConnected = true;
                pool.updateBackend(1, address, 0, EndpointPhase.READY, Dialect.CHAT);
                startAttempt(1, Long.MAX_VALUE, "next");
            });
            try (Socket first = server.accept()) {
                Socket socket = phases.length > 0 && phases[0] == EndpointPhase.GONE ? server.accept() : first;
                readRequest(socket, "next");
                assertEquals(
                        "nothing came before",
                        -1,
                        first == socket ? -1 : first.getInputStream().read());
            }
        }
    }

    /** It was decided before the list came, and its connect takes its time: it is not sent behind the grace. */
    @Test
    public void attemptIsNotSentWhenBackendStartsDrainingDuringConnect() throws Exception {
        assertNotSentAfter(Long.MAX_VALUE, true, EndpointPhase.DRAINING);
    }

    @Test
    public void attemptIsNotSentWhenBackendIsRemovedDuringConnect() throws Exception {
        assertNotSentAfter(Long.MAX_VALUE, true, EndpointPhase.GONE);
    }

    @Test
    public void attemptIsNotSentAfterItsSendDeadline() throws Exception {
        assertNotSentAfter(timers.now(), true);
    }

    @Test
    public void attemptIsNotSentWhenClientDisconnectsDuringConnect() throws Exception {
        assertNotSentAfter(Long.MAX_VALUE, false);
    }

    /**
     * An attempt that has this long; the I/O thread is kept busy for 0.2 s between the decision and the moment at which
     * the connection can be written to.
     */
    private void startAttemptWhileThreadIsBusy(ServerSocket server, long remainingNanos) {
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        thread.execute(() -> {
            pool.updateBackend(1, address, 0, EndpointPhase.READY, Dialect.CHAT);
            startAttempt(1, timers.now() + remainingNanos, Long.MAX_VALUE, "late");
            long busyUntilNanos = timers.now() + SECOND_NANOS / 5;
            while (timers.now() < busyUntilNanos) {
                Thread.onSpinWait();
            }
        });
    }

    @Test
    public void deadlineHeaderIsTimeRemainingWhenRequestIsWritten() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            startAttemptWhileThreadIsBusy(server, SECOND_NANOS);
            try (Socket socket = server.accept()) {
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
                String line = in.readLine();
                while (!line.startsWith("X-Deadline-Ms: ")) {
                    line = in.readLine();
                }
                long deadlineMillis = Long.parseLong(line.substring("X-Deadline-Ms: ".length()));
                assertTrue("told " + deadlineMillis + " ms", deadlineMillis <= 800);
            }
        }
    }

    @Test
    public void attemptIsNotSentWhenDeadlinePassesDuringConnect() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            startAttemptWhileThreadIsBusy(server, SECOND_NANOS / 10);
            assertEquals("not-sent", attemptEnds.poll(10, TimeUnit.SECONDS));
        }
    }

    private static void readRequest(Socket socket, String id) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
        in.readLine();
        in.readLine();
        assertEquals("X-Request-Id: " + id, in.readLine());
    }

    /**
     * The second answer comes after the next request was sent: on one connection it would pass for that one's answer.
     */
    @Test
    public void unsolicitedSecondResponseIsNotMatchedToNextRequest() throws Exception {
        pool = createPool(SECOND_NANOS);
        String answer = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(10_000);
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            thread.execute(() -> {
                pool.updateBackend(1, address, 0, EndpointPhase.READY, Dialect.CHAT);
                startAttempt(1, Long.MAX_VALUE, "first");
            });
            try (Socket first = server.accept()) {
                readRequest(first, "first");
                first.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                assertEquals("turned-away", attemptEnds.poll(10, TimeUnit.SECONDS));
                thread.execute(() -> startAttempt(1, Long.MAX_VALUE, "next"));
                try (Socket second = server.accept()) {
                    readRequest(second, "next");
                    first.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    assertEquals("closed by what nobody asked for", -1, readToEnd(first));
                    assertTrue(attemptEnds.isEmpty());
                }
            }
        }
    }

    private static int readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        int last = 0;
        while (last >= 0) {
            last = socket.getInputStream().read();
        }
        return last;
    }
}
