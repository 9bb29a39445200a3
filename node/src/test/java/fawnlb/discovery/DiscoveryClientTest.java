package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.io.IOException;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** What calls to discovery ask for, how each can end, and what the listener and the metric learn of it. */
public class DiscoveryClientTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private DiscoveryHarness harness;

    @Before
    public void open() throws IOException {
        harness = new DiscoveryHarness();
    }

    @After
    public void stop() throws IOException {
        harness.close();
    }

    /** Expects one call that ends so, and nothing after it. */
    private void assertNextUpdate(EndpointUpdateKind kind) throws InterruptedException {
        assertEquals(kind, harness.awaitUpdate());
        harness.awaitIoThread();
        assertNull(harness.pollUpdate());
    }

    private static long calls(String result) {
        return Metrics.value(Metric.DISCOVERY_CALLS, result);
    }

    @Test
    public void watchStartsFromTheRevisionThatIsHeld() throws IOException, InterruptedException {
        harness.client().startFromCachedList(new EndpointList(41, true, List.of()));
        assertEquals(EndpointUpdateKind.CACHED, harness.awaitUpdate());

        harness.startWatch();

        assertEquals("GET /registry/instances?watch=1&from=41 HTTP/1.1", harness.acceptCall());
    }

    @Test
    public void heartbeatAsFirstAnswerConfirmsTheListThatIsHeld() throws IOException, InterruptedException {
        long answered = calls("answered");
        harness.startWatch();
        harness.acceptCall();

        harness.writeHead();
        harness.writeChunk("\n");

        assertNextUpdate(EndpointUpdateKind.DELTA);
        assertEquals(answered + 1, calls("answered"));
    }

    @Test
    public void immediateRejectionCountsAsFailure() throws IOException, InterruptedException {
        long failed = calls("failed");
        harness.startWatch();
        harness.acceptCall();

        harness.write(UNAVAILABLE);

        assertNextUpdate(EndpointUpdateKind.FAILED);
        assertEquals(failed + 1, calls("failed"));
    }

    @Test
    public void rejectionAfterQueueingCountsAsThrottling() throws IOException, InterruptedException {
        long throttled = calls("crowded");
        harness.startWatch();
        harness.acceptCall();
        harness.advanceTime(NANOS_PER_SECOND);

        harness.write(UNAVAILABLE);

        assertNextUpdate(EndpointUpdateKind.THROTTLED);
        assertEquals(throttled + 1, calls("crowded"));
    }

    @Test
    public void callThatIsNotAnsweredTimesOut() throws IOException, InterruptedException {
        long timedOut = calls("unanswered");
        harness.startWatch();
        harness.acceptCall();

        harness.advanceTime(DiscoveryTimeouts.RESPONSE_TIMEOUT_NANOS - 1);
        assertNull(harness.pollUpdate());
        harness.advanceTime(1);

        assertNextUpdate(EndpointUpdateKind.TIMED_OUT);
        assertEquals(timedOut + 1, calls("unanswered"));
    }

    @Test
    public void watchThatEndsIsAFailure() throws IOException, InterruptedException {
        harness.openWatch();

        harness.writeLastChunk();

        assertNextUpdate(EndpointUpdateKind.FAILED);
    }

    @Test
    public void watchThatBreaksIsAFailure() throws IOException, InterruptedException {
        harness.openWatch();

        harness.call().close();

        assertNextUpdate(EndpointUpdateKind.FAILED);
    }

    @Test
    public void malformedListEndsTheWatch() throws IOException, InterruptedException {
        harness.openWatch();

        harness.writeChunk("{\"members\":[]}\n");

        assertNextUpdate(EndpointUpdateKind.FAILED);
        assertEquals(
                "the client has closed the connection",
                -1,
                harness.call().getInputStream().read());
    }

    @Test
    public void olderChangesEndTheWatchAndTheNextAsksForTheWholeList() throws IOException, InterruptedException {
        harness.openWatch();
        harness.writeChunk("{\"revision\":2,\"complete\":false,\"members\":[]}\n");
        assertNextUpdate(EndpointUpdateKind.FAILED);

        harness.startWatch();

        assertEquals("GET /registry/instances?watch=1&from=0 HTTP/1.1", harness.acceptCall());
    }

    @Test
    public void watchIsNotReplacedWhileAwaitingItsAnswer() throws IOException, InterruptedException {
        harness.startWatch();
        harness.acceptCall();

        harness.startWatch();

        harness.answerWithFullList();
    }

    @Test
    public void fetchDeliversTheWholeList() throws IOException, InterruptedException {
        harness.startFetch();
        assertEquals("GET /registry/instances HTTP/1.1", harness.acceptCall());

        harness.writeHead();
        harness.writeChunk(DiscoveryHarness.FULL_LIST_LINE);
        harness.writeLastChunk();

        assertNextUpdate(EndpointUpdateKind.FULL);
    }

    @Test
    public void fetchOfAnythingButOneListIsAFailure() throws IOException, InterruptedException {
        for (String body :
                List.of("\n", DiscoveryHarness.FULL_LIST_LINE + DiscoveryHarness.FULL_LIST_LINE, "{\"revision\":3,")) {
            harness.startFetch();
            harness.acceptCall();

            harness.writeHead();
            harness.writeChunk(body);
            harness.writeLastChunk();

            assertNextUpdate(EndpointUpdateKind.FAILED);
        }
    }
}
