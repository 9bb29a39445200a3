package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;

import fawnlb.decision.EndpointUpdateKind;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A watch that misses a heartbeat: another call is made in time, and a false alarm costs nothing. */
public class WatchHeartbeatTest {
    private DiscoveryHarness harness;

    @Before
    public void openWatch() throws IOException, InterruptedException {
        harness = new DiscoveryHarness();
        harness.openWatch();
    }

    @After
    public void stop() throws IOException {
        harness.close();
    }

    @Test
    public void missedHeartbeatIsReportedAsFailedCall() throws InterruptedException {
        harness.advanceTime(DiscoveryTimeouts.WATCH_SILENCE_TIMEOUT_NANOS - 1);
        assertNull(harness.pollUpdate());

        harness.advanceTime(1);

        assertEquals(EndpointUpdateKind.FAILED, harness.pollUpdate());
    }

    @Test
    public void silentWatchResumesWhenItSendsBeforeTheNextCall() throws IOException, InterruptedException {
        harness.missHeartbeat();

        harness.writeChunk("\n");

        assertEquals("no change was missed", EndpointUpdateKind.DELTA, harness.awaitUpdate());
        harness.writeChunk(DiscoveryHarness.FULL_LIST_LINE);
        assertEquals(EndpointUpdateKind.FULL, harness.awaitUpdate());
        harness.missHeartbeat();
    }

    /**
     * SIGHUP while the next call is due soon: the call that goes to the new address keeps its place in the queue there.
     */
    @Test
    public void watchOpenedByAddressChangeIsNotReplacedWhileAwaitingItsAnswer()
            throws IOException, InterruptedException {
        harness.missHeartbeat();
        try (ServerSocket next = DiscoveryHarness.openServer()) {
            harness.changeAddress(next);
            harness.acceptCall(next);

            harness.startWatch();

            harness.answerWithFullList();
        }
    }

    @Test
    public void nextCallReplacesSilentWatch() throws IOException, InterruptedException {
        harness.missHeartbeat();
        Socket silentCall = harness.call();

        harness.startWatch();

        harness.acceptCall();
        silentCall.getInputStream().readAllBytes();
        assertFalse(
                "the silent watch is closed, the next one is not",
                harness.call().isClosed());
    }
}
