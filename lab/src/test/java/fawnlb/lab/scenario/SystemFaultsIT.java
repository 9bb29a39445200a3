package fawnlb.lab.scenario;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.net.Fault;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.shim.FaultShim;
import java.io.IOException;
import java.io.InputStream;
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

/** System calls that fail for a while and a wall clock that steps, on a node as {@code run} starts it. */
public class SystemFaultsIT {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final long NANOS_PER_HOUR = 3600 * NANOS_PER_SECOND;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final EngineProfile PROFILE =
            new EngineProfile("full-rate", 100, 100, 1_000_000, 2048, 2, 0.01, 1e6, 1, 0, 0);

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
        shim = FaultShim.create(FaultShim.compile(testbed.directory), testbed.directory.resolve("n0.faults"));
    }

    @After
    public void closeTestbed() throws IOException {
        if (testbed != null) {
            testbed.close();
        }
    }

    /** One node before so many servers of one kind, which have been there for long. */
    private NodeProcess startNode(int backendCount) throws Exception {
        for (int i = 0; i < backendCount; i++) {
            testbed.addBackend(PROFILE, ApiFormat.CHAT);
        }
        testbed.prepareNodes(1, 0);
        NodeProcess node = testbed.nodes.get(0);
        node.setEnvironment(shim.environment());
        testbed.startNodes(Map.of());
        return node;
    }

    private static Socket connect(NodeProcess node) throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Asks for readiness on a new connection; how long the answer took, in nanoseconds. */
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
        for (FaultShim.Errno error : List.of(FaultShim.Errno.ENFILE, FaultShim.Errno.ENOBUFS)) {
            shim.fail(FaultShim.SystemCall.ACCEPT, error, 1);
            long before = shim.failureCount(FaultShim.SystemCall.ACCEPT);
            Socket waiting = connect(node);
            TimeUnit.SECONDS.sleep(2);
            long failed = shim.failureCount(FaultShim.SystemCall.ACCEPT) - before;
            shim.heal(FaultShim.SystemCall.ACCEPT);
            long elapsedNanos = measureReadinessNanos(node);
            waiting.close();
            assertTrue(
                    error + ": answered " + elapsedNanos / NANOS_PER_MILLI + " ms after accepts worked again",
                    elapsedNanos < 300 * NANOS_PER_MILLI);
            assertTrue(error + ": tried " + failed + " times in 2 s", failed >= 20 && failed <= 60);
        }
    }

    /** The soak's find: a node that started while no socket could be made ended with status 1. */
    @Test
    public void nodeStartsThroughTemporarySocketFailure() throws Exception {
        testbed.addBackend(PROFILE, ApiFormat.CHAT);
        testbed.prepareNodes(1, 0);
        NodeProcess node = testbed.nodes.get(0);
        node.setEnvironment(shim.environment());
        shim.fail(FaultShim.SystemCall.SOCKET, FaultShim.Errno.EMFILE, 1);
        testbed.start(0, Map.of());
        long end = System.nanoTime() + 10 * NANOS_PER_SECOND;
        while (!node.readLog().contains("org.jboss.threads")) {
            assertTrue("never began: " + node.readLog(), System.nanoTime() < end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        // The platform asks for sockets too before the node does.
        TimeUnit.MILLISECONDS.sleep(1000);
        shim.heal(FaultShim.SystemCall.SOCKET);
        while (!node.isReady()) {
            assertTrue("ended: " + node.readLog(), node.isAlive());
            assertTrue("not ready in time", System.nanoTime() < end);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /**
     * The soak's find: a request's time in the kernel's queue, through accepts that fail, was told to a server as left.
     */
    @Test
    public void forwardedDeadlineExcludesTimeInTheAcceptQueue() throws Exception {
        NodeProcess node = startNode(1);
        shim.fail(FaultShim.SystemCall.ACCEPT, FaultShim.Errno.ENFILE, 1);
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[]}";
        String id = "5eedfeed";
        try (Socket socket = connect(node)) {
            long written = testbed.backendTimers.now();
            Testbed.runOn(testbed.backendWorker, () -> {
                testbed.rules.onRequestSent(id, node.name());
                testbed.rules.setDeadline(id, written + 4 * NANOS_PER_SECOND);
            });
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions?out=2 HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id
                                    + "\r\nX-Class: advisor-chat\r\nX-Key: 1\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(1000);
            shim.heal(FaultShim.SystemCall.ACCEPT);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
        }
        assertEquals(Map.of(), testbed.rules.violations());
    }

    /**
     * By the operators' page the process may be killed 3.7 s after it was told to end, where deadlines are longer than
     * 3 s.
     */
    @Test
    public void shutdownAnswersRequestsWaitingForHangingBackends() throws Exception {
        NodeProcess node = startNode(2);
        Testbed.runOn(testbed.backendWorker, () -> {
            for (EngineServer backend : testbed.backends) {
                backend.injectFaults(id -> new Fault(Fault.Kind.STALL, 0, 0));
            }
        });
        try (Socket socket = connect(node)) {
            String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[]}";
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions?out=2 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 5eedfeed"
                                    + "\r\nX-Class: advisor-chat\r\nX-Key: 1\r\nX-Deadline-Ms: 7500\r\nContent-Length: "
                                    + body.length()
                                    + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(300);
            long signalledAt = System.nanoTime();
            node.sendSignal("TERM");
            String answer = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            long elapsedNanos = System.nanoTime() - signalledAt;
            assertTrue(answer, answer.startsWith("HTTP/1.1 50"));
            assertTrue(
                    "answered after " + elapsedNanos / NANOS_PER_MILLI + " ms", elapsedNanos < 3700 * NANOS_PER_MILLI);
        }
    }

    /** When the connection closes on which half a head was written, in nanoseconds; the wall clock steps meanwhile. */
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
                    // An error may be told before the close.
                }
            } catch (SocketTimeoutException e) {
                return Long.MAX_VALUE;
            } catch (IOException e) {
                // A reset is a close too.
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

    /** Which server answers a request of a new conversation. */
    private static String answeringBackend(NodeProcess node, long number) throws IOException {
        String body =
                "{\"model\":\"m\",\"stream\":true,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        try (Socket socket = connect(node)) {
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions?out=2&prompt=10 HTTP/1.1\r\nHost: x\r\nX-Request-Id: "
                                    + Long.toHexString(0x5eed_0000_0000L + number)
                                    + "\r\nX-Class: advisor-chat\r\nX-Key: "
                                    + Long.toHexString((number + 1) * 0x9e3779b97f4a7c15L)
                                    + "\r\nX-Deadline-Ms: 7000\r\nX-Extras: prompt_len=10,max_out=2\r\n"
                                    + "Content-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            int content = answer.indexOf("s-");
            assertTrue(answer, answer.startsWith("HTTP/1.1 200") && content > 0);
            return answer.substring(content, content + 10);
        }
    }

    /** How long a request of a new conversation takes that is answered, in nanoseconds. */
    private static long measureRequestNanos(NodeProcess node, long number) throws IOException {
        long startedAt = System.nanoTime();
        answeringBackend(node, number);
        return System.nanoTime() - startedAt;
    }

    /** An attempt of which nothing could be written was left alone until its time was up, after 0.75 s. */
    @Test
    public void attemptWithFailedWriteIsRetriedImmediately() throws Exception {
        NodeProcess node = startNode(3);
        measureRequestNanos(node, 1);
        shim.failNext(FaultShim.SystemCall.WRITE, FaultShim.Errno.ENOBUFS, 1);
        long elapsedNanos = measureRequestNanos(node, 2);
        assertEquals(1, shim.failureCount(FaultShim.SystemCall.WRITE));
        assertTrue("answered after " + elapsedNanos / NANOS_PER_MILLI + " ms", elapsedNanos < 500 * NANOS_PER_MILLI);
    }

    /** Each such failure used to count against the server: a node with one server refused all for a second. */
    @Test
    public void localConnectFailureDoesNotFailTheRequest() throws Exception {
        NodeProcess node = startNode(1);
        for (FaultShim.Errno error :
                List.of(FaultShim.Errno.EADDRNOTAVAIL, FaultShim.Errno.ENETUNREACH, FaultShim.Errno.ENOBUFS)) {
            // No kept connection may do instead.
            Testbed.runOn(
                    testbed.backendWorker,
                    () -> testbed.backends
                            .get(0)
                            .replace(testbed.backends.get(0).id()));
            TimeUnit.MILLISECONDS.sleep(200);
            shim.failNext(FaultShim.SystemCall.CONNECT, error, 2);
            long elapsedNanos = measureRequestNanos(node, error.ordinal());
            assertTrue(
                    error + ": answered after " + elapsedNanos / NANOS_PER_MILLI + " ms",
                    elapsedNanos < 700 * NANOS_PER_MILLI);
        }
        assertEquals(6, shim.failureCount(FaultShim.SystemCall.CONNECT));
    }

    /**
     * The share of requests that go to a server in its first four seconds, on a node that started with a wrong clock.
     */
    private double shareOfNewBackend(long offset) throws Exception {
        shim.stepWallClock(offset);
        NodeProcess node = startNode(3);
        EngineServer joined = testbed.addBackend(PROFILE, ApiFormat.CHAT);
        DiscoveredEndpoint listed =
                Testbed.members(List.of(joined), EndpointPhase.READY).get(0);
        DiscoveredEndpoint started = new DiscoveredEndpoint(
                listed.id(),
                listed.host(),
                listed.port(),
                listed.zone(),
                listed.kind(),
                0,
                EndpointPhase.READY,
                1,
                System.currentTimeMillis());
        for (int i = 0; i < 200; i++) {
            answeringBackend(node, i);
        }
        Testbed.runOn(testbed.backendWorker, () -> testbed.discovery.applyChanges(started));
        long end = System.nanoTime() + 4 * NANOS_PER_SECOND;
        int asked = 0;
        int answeredByNew = 0;
        while (System.nanoTime() < end) {
            answeredByNew += answeringBackend(node, 1000 + asked++).equals(joined.id()) ? 1 : 0;
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return answeredByNew / (double) asked;
    }

    @Test
    public void newBackendReceivesSlowStartShareWithCorrectClock() throws Exception {
        double share = shareOfNewBackend(0);
        assertTrue("share " + share, share > 0.02 && share < 0.17);
    }

    @Test
    public void newBackendIsNotOverloadedWithClockAnHourAhead() throws Exception {
        double share = shareOfNewBackend(NANOS_PER_HOUR);
        assertTrue("share " + share, share > 0.02 && share < 0.17);
    }

    @Test
    public void newBackendIsNotStarvedWithClockAnHourBehind() throws Exception {
        double share = shareOfNewBackend(-NANOS_PER_HOUR);
        assertTrue("share " + share, share > 0.02 && share < 0.17);
    }
}
