package fawnlb.lab.shim;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.PostRequest;
import fawnlb.lab.net.Fault;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.shim.FaultShim.Errno;
import fawnlb.lab.shim.FaultShim.SystemCall;
import fawnlb.lab.testbed.EmulatedEndpoints;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Assume;
import org.junit.Before;
import org.junit.Test;

/** Failing system calls and a stepping wall clock, on a node that is started by the deploy file. */
public class SystemFaultsIT {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final long NANOS_PER_HOUR = 3600 * NANOS_PER_SECOND;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final EngineProfile PROFILE = EngineProfile.fast(EngineProfile.FULL_RATE, 100, 1_000_000, 2048);
    private static final String COMPLETIONS_PATH = "/v1/chat/completions?out=2";
    private static final String BODY = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[]}";
    private static final String CONVERSATION_BODY =
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    private static final String REQUEST_ID = "5eedfeed";
    private static final int BACKEND_ID_LENGTH = 10;

    private Testbed testbed;
    private FaultShim shim;

    @Before
    public void compileShim() throws Exception {
        boolean possible = FaultShim.isAvailable();
        if (!possible) {
            System.out.println("SKIPPED: no C compiler on this machine, so that no system call can be made to fail");
        }
        Assume.assumeTrue("a C compiler", possible);
        testbed = new Testbed();
        shim = FaultShim.create(
                FaultShim.compile(testbed.directory()), testbed.directory().resolve("n0.faults"));
    }

    @After
    public void closeTestbed() throws IOException {
        if (testbed != null) {
            testbed.close();
        }
    }

    /** Prepares one node with the shim, and backends of one profile that have passed their slow start. */
    private NodeProcess prepareNode(int backendCount) throws Exception {
        testbed.addBackends(backendCount, PROFILE, ApiFormat.CHAT);
        testbed.prepareNodes(1, 0);
        NodeProcess node = testbed.nodes().get(0);
        node.setEnvironment(shim.environment());
        return node;
    }

    /** Starts the node that {@link #prepareNode} prepares, and waits until it is ready. */
    private NodeProcess startNode(int backendCount) throws Exception {
        NodeProcess node = prepareNode(backendCount);
        testbed.startNodes(Map.of());
        return node;
    }

    /** Starts a request with the headers that the node requires. */
    private static PostRequest completionRequest(String path, String requestId, String key, long deadlineMillis) {
        return PostRequest.to(path)
                .header("X-Request-Id", requestId)
                .header("X-Class", "advisor-chat")
                .header("X-Key", key)
                .header("X-Deadline-Ms", deadlineMillis);
    }

    private static void assertWithinMillis(String message, long elapsedNanos, long limitMillis) {
        long elapsedMillis = elapsedNanos / NANOS_PER_MILLI;
        assertTrue(message + elapsedMillis + " ms", elapsedNanos < limitMillis * NANOS_PER_MILLI);
    }

    private static Socket connect(NodeProcess node) throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Requests readiness on a new connection and returns how long the response took. */
    private static long measureReadinessNanos(NodeProcess node) throws IOException {
        long startedAt = System.nanoTime();
        try (Socket socket = connect(node)) {
            socket.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 200", new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
        }
        return System.nanoTime() - startedAt;
    }

    @Test
    public void acceptResumesSoonAfterAcceptFailuresEnd() throws Exception {
        NodeProcess node = startNode(1);
        for (Errno error : List.of(Errno.ENFILE, Errno.ENOBUFS)) {
            shim.fail(SystemCall.ACCEPT, error, 1);
            long before = shim.failureCount(SystemCall.ACCEPT);
            Socket waiting = connect(node);
            TimeUnit.SECONDS.sleep(2);
            long failed = shim.failureCount(SystemCall.ACCEPT) - before;
            shim.heal(SystemCall.ACCEPT);
            long elapsedNanos = measureReadinessNanos(node);
            waiting.close();
            assertWithinMillis(error + ": time from the end of failures to the response ", elapsedNanos, 300);
            assertTrue(error + ": tried " + failed + " times in 2 s", failed >= 20 && failed <= 60);
        }
    }

    /** Found by the soak: a node that started while no socket could be created ended with status 1. */
    @Test
    public void nodeStartsThroughTemporarySocketFailure() throws Exception {
        NodeProcess node = prepareNode(1);
        shim.fail(SystemCall.SOCKET, Errno.EMFILE, 1);
        testbed.startNode(0, Map.of());
        long end = System.nanoTime() + 10 * NANOS_PER_SECOND;
        while (!node.readLog().contains("org.jboss.threads")) {
            assertTrue("never began: " + node.readLog(), System.nanoTime() < end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        // The Java platform creates sockets before the node does; leave the failure on until the node has tried.
        TimeUnit.MILLISECONDS.sleep(1000);
        shim.heal(SystemCall.SOCKET);
        while (!node.isReady()) {
            assertTrue("ended: " + node.readLog(), node.isAlive());
            assertTrue("not ready in time", System.nanoTime() < end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /**
     * Found by the soak: time that a request had spent in the kernel's accept queue was forwarded to a backend as time
     * left.
     */
    @Test
    public void forwardedDeadlineExcludesTimeInTheAcceptQueue() throws Exception {
        NodeProcess node = startNode(1);
        shim.fail(SystemCall.ACCEPT, Errno.ENFILE, 1);
        try (Socket socket = connect(node)) {
            long connectedAt = testbed.now();
            testbed.rules().onRequestSent(connectedAt, REQUEST_ID, node.name());
            testbed.rules().setDeadline(REQUEST_ID, connectedAt + 4 * NANOS_PER_SECOND);
            PostRequest request =
                    completionRequest(COMPLETIONS_PATH, REQUEST_ID, "1", 4000).header("Connection", "close");
            socket.getOutputStream().write(request.toBytes(BODY));
            TimeUnit.MILLISECONDS.sleep(1000);
            shim.heal(SystemCall.ACCEPT);
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response, response.startsWith("HTTP/1.1 200"));
        }
        assertEquals(Map.of(), testbed.rules().violations());
    }

    /**
     * By the operators' page the process may be killed 3.7 s after SIGTERM, also where requests have longer deadlines.
     */
    @Test
    public void shutdownAnswersRequestsWaitingForHangingBackends() throws Exception {
        NodeProcess node = startNode(2);
        testbed.runOnBackends(() -> {
            for (EngineServer backend : testbed.backends()) {
                backend.injectFaults(id -> new Fault(Fault.Kind.STALL, 0, 0));
            }
        });
        try (Socket socket = connect(node)) {
            socket.getOutputStream()
                    .write(completionRequest(COMPLETIONS_PATH, REQUEST_ID, "1", 7500)
                            .toBytes(BODY));
            TimeUnit.MILLISECONDS.sleep(300);
            long signalledAt = System.nanoTime();
            node.sendSignal("TERM");
            String status = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            long elapsedNanos = System.nanoTime() - signalledAt;
            assertTrue(status, status.startsWith("HTTP/1.1 50"));
            assertWithinMillis("answered after ", elapsedNanos, 3700);
        }
    }

    /**
     * Returns when the node closes a connection with a part of a request head, Long.MAX_VALUE if it does not. The wall
     * clock steps meanwhile.
     */
    private long partialHeadCloseNanos(NodeProcess node, long wallClockStepNanos) throws Exception {
        shim.stepWallClock(0);
        try (Socket socket = connect(node)) {
            long startedAt = System.nanoTime();
            socket.getOutputStream()
                    .write("POST /v1/chat/completions HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(500);
            shim.stepWallClock(wallClockStepNanos);
            socket.setSoTimeout(4000);
            try {
                while (socket.getInputStream().read() >= 0) {
                    // An error response may precede the close.
                }
            } catch (SocketTimeoutException e) {
                return Long.MAX_VALUE;
            } catch (IOException e) {
                // A reset closes the connection too.
            }
            return System.nanoTime() - startedAt;
        }
    }

    @Test
    public void partialHeadTimesOutWithinThreeSecondsDespiteWallClockSteps() throws Exception {
        NodeProcess node = startNode(1);
        for (long wallClockStepNanos : new long[] {0, -3 * NANOS_PER_SECOND, -NANOS_PER_HOUR, NANOS_PER_HOUR}) {
            long elapsedNanos = partialHeadCloseNanos(node, wallClockStepNanos);
            assertTrue(
                    "stepped by " + wallClockStepNanos / NANOS_PER_SECOND + " s: " + elapsedNanos / NANOS_PER_MILLI
                            + " ms",
                    elapsedNanos >= 1500 * NANOS_PER_MILLI && elapsedNanos < 3 * NANOS_PER_SECOND);
        }
    }

    /** Sends a request of a new conversation and returns the id of the backend that answers it. */
    private static String answeringBackend(NodeProcess node, long number) throws IOException {
        String requestId = Long.toHexString(0x5eed_0000_0000L + number);
        String key = Long.toHexString((number + 1) * 0x9e3779b97f4a7c15L);
        PostRequest request = completionRequest(COMPLETIONS_PATH + "&prompt=10", requestId, key, 7000)
                .header("X-Extras", "prompt_len=10,max_out=2")
                .header("Connection", "close");
        try (Socket socket = connect(node)) {
            socket.getOutputStream().write(request.toBytes(CONVERSATION_BODY));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            int content = response.indexOf("s-");
            assertTrue(response, response.startsWith("HTTP/1.1 200") && content > 0);
            return response.substring(content, content + BACKEND_ID_LENGTH);
        }
    }

    /** Returns how long a request of a new conversation takes that is answered. */
    private static long measureRequestNanos(NodeProcess node, long number) throws IOException {
        long startedAt = System.nanoTime();
        answeringBackend(node, number);
        return System.nanoTime() - startedAt;
    }

    /** An attempt of which nothing could be written used to wait for its timeout of 0.75 s. */
    @Test
    public void attemptWithFailedWriteIsRetriedImmediately() throws Exception {
        NodeProcess node = startNode(3);
        measureRequestNanos(node, 1);
        shim.failNext(SystemCall.WRITE, Errno.ENOBUFS, 1);
        long elapsedNanos = measureRequestNanos(node, 2);
        assertEquals(1, shim.failureCount(SystemCall.WRITE));
        assertWithinMillis("answered after ", elapsedNanos, 500);
    }

    /** Such failures used to count against the backend: a node with one backend rejected all requests for a second. */
    @Test
    public void localConnectFailureDoesNotFailTheRequest() throws Exception {
        NodeProcess node = startNode(1);
        for (Errno error : List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS)) {
            // Close idle connections, so that the request needs a new one.
            EngineServer backend = testbed.backends().get(0);
            testbed.runOnBackends(() -> backend.replace(backend.id()));
            TimeUnit.MILLISECONDS.sleep(200);
            shim.failNext(SystemCall.CONNECT, error, 2);
            long elapsedNanos = measureRequestNanos(node, error.ordinal());
            assertWithinMillis(error + ": answered after ", elapsedNanos, 700);
        }
        assertEquals(6, shim.failureCount(SystemCall.CONNECT));
    }

    /**
     * Returns the share of requests that go to a backend in its first four seconds, on a node whose wall clock was off
     * by this much at its start.
     */
    private double shareOfNewBackend(long clockOffsetNanos) throws Exception {
        shim.stepWallClock(clockOffsetNanos);
        NodeProcess node = startNode(3);
        EngineServer joined = testbed.addBackend(PROFILE, ApiFormat.CHAT);
        long joinedAtMillis = System.currentTimeMillis();
        for (int i = 0; i < 200; i++) {
            answeringBackend(node, i);
        }
        testbed.runOnBackends(() ->
                testbed.discovery().applyChanges(EmulatedEndpoints.of(joined, EndpointPhase.READY, joinedAtMillis)));
        long end = System.nanoTime() + 4 * NANOS_PER_SECOND;
        int requests = 0;
        int answeredByNew = 0;
        while (System.nanoTime() < end) {
            answeredByNew += answeringBackend(node, 1000 + requests++).equals(joined.id()) ? 1 : 0;
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return answeredByNew / (double) requests;
    }

    /**
     * Asserts the share that four seconds of slow start allow: neither nothing nor nearly an even share of a quarter.
     */
    private static void assertSlowStartShare(double share) {
        assertTrue("share " + share, share > 0.02 && share < 0.17);
    }

    @Test
    public void newBackendReceivesSlowStartShareWithCorrectClock() throws Exception {
        assertSlowStartShare(shareOfNewBackend(0));
    }

    @Test
    public void newBackendIsNotOverloadedWithClockAnHourAhead() throws Exception {
        assertSlowStartShare(shareOfNewBackend(NANOS_PER_HOUR));
    }

    @Test
    public void newBackendIsNotStarvedWithClockAnHourBehind() throws Exception {
        assertSlowStartShare(shareOfNewBackend(-NANOS_PER_HOUR));
    }
}
