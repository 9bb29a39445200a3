package fawnlb.proxy;

import static fawnlb.proxy.RequestProxyHarness.MS;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import java.util.List;
import org.junit.Test;

/** Graceful shutdown: no new requests, and an answer in time for those that wait. */
public class ShutdownTest {
    /** Longer than the operators wait before they kill the process. */
    private static final long LONG_TIMEOUT_NANOS = 7500 * MS;

    /** A process that shuts down has little time: a stream that it would admit now could be cut by SIGKILL. */
    @Test
    public void shutdownRejectsNewRequestsAndKeepsInFlightOnes() {
        RequestProxyHarness harness = new RequestProxyHarness();
        RequestProxy.RequestHandle inFlight = harness.submit();

        harness.proxy.stopAdmitting();

        assertNull(harness.submit());
        assertNotNull(inFlight);
        assertEquals(1, harness.proxy.openRequests());
    }

    @Test
    public void shutdownDeadlineRejectsIdempotentRequestsWaitingForHungBackends() {
        assertAnsweredAtShutdownDeadline("safe", "refused");
    }

    @Test
    public void shutdownDeadlineFailsOtherRequestsWaitingForHungBackends() {
        assertAnsweredAtShutdownDeadline("unsafe", "failed");
    }

    private static void assertAnsweredAtShutdownDeadline(String effect, String expectedAnswer) {
        RequestProxyHarness harness = new RequestProxyHarness("profiles.count=1\nprofiles.0.effect=" + effect);
        harness.submit(harness.new RecordingClient(), LONG_TIMEOUT_NANOS);
        harness.startAttempt(1, 7);
        harness.proxy.beginGracefulShutdown();
        harness.submit(harness.new RecordingClient(), LONG_TIMEOUT_NANOS);
        harness.startAttempt(2, 8);

        harness.timers.advance(FinalDeadlines.SHUTDOWN_ANSWER_DEADLINE_NANOS - MS);
        assertEquals(List.of("forward 7", "forward 8"), harness.observed);

        harness.timers.advance(2 * MS);
        long answers = harness.observed.stream()
                .filter(line -> line.startsWith(expectedAnswer))
                .count();
        assertEquals(harness.observed.toString(), 2, answers);
        assertEquals(0, harness.proxy.openRequests());
    }
}
