package fawnlb.proxy;

import static fawnlb.proxy.RequestProxyHarness.MS;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.LoadBalancerAction.CancelAttempt;
import fawnlb.decision.LoadBalancerAction.FailRequest;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.ClientDisconnected;
import fawnlb.stream.EndReason;
import java.util.List;
import org.junit.Test;

/** Attempts from the action that asks for them to the report of their end. */
public class AttemptLifecycleTest {
    private RequestProxyHarness harness = new RequestProxyHarness();

    @Test
    public void attemptStopsAtDeadlineAndClientIsAnsweredOnce() {
        harness = new RequestProxyHarness("profiles.count=1\nprofiles.0.effect=safe");
        harness.submit();
        harness.startAttempt(1, 7);
        harness.timers.advance(90 * MS);
        assertEquals(AttemptOutcome.TIMEOUT, harness.lastReportedOutcome());

        harness.perform(new RejectRequest(1, 5 * MS));
        harness.perform(new FailRequest(1));
        harness.timers.advance(50 * MS);

        assertEquals(List.of("forward 7", "stop 1 out-of-time", "refused out-of-time 5"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
    }

    @Test
    public void concurrentExcessAndLateAttemptsAreNotSent() {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startAttempt(1, 8);
        assertEquals(AttemptOutcome.NEVER_SENT, harness.lastReportedOutcome());

        harness.endAttempt(0, EndReason.BACKEND_ERROR);
        harness.startAttempt(1, 8);
        harness.endAttempt(1, EndReason.BACKEND_ERROR);
        harness.startAttempt(1, 9);
        assertEquals(AttemptOutcome.NEVER_SENT, harness.lastReportedOutcome());

        harness.perform(new FailRequest(1));
        harness.startAttempt(1, 9);
        assertTrue(((AttemptEnded) harness.lastEvent()).requestFinished());
        assertEquals(List.of("forward 7", "forward 8", "failed failed"), harness.observed);
    }

    @Test
    public void startedStreamHasNoDeadlineAndReportsItsEndOnce() {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startResponse(0);
        harness.timers.advance(1000 * MS);
        harness.perform(new RejectRequest(1, 0));

        harness.endAttempt(0, EndReason.COMPLETED);
        harness.endAttempt(0, EndReason.CONNECTION_LOST);

        assertEquals(List.of("forward 7", "streaming"), harness.observed);
        assertEquals(
                1,
                harness.events.stream()
                        .filter(event -> event instanceof AttemptEnded)
                        .count());
        assertEquals(0, harness.proxy.openRequests());
    }

    /** A request that backends find wrong must not make a backend look failing, nor its responses look quick. */
    @Test
    public void clientErrorResponseIsForwardedAndReportedAsCancelled() {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startClientErrorResponse(0);
        harness.perform(new CancelAttempt(1, 0));
        harness.endAttempt(0, EndReason.COMPLETED);

        assertEquals(List.of("forward 7", "streaming"), harness.observed);
        assertTrue(harness.events.get(1) instanceof ClientDisconnected);
        assertEquals(AttemptOutcome.CANCELLED, harness.lastReportedOutcome());
        assertEquals(0, harness.proxy.openRequests());
    }

    /** The backend asks when it is about to write the request, which may be long after the decision. */
    @Test
    public void attemptIsWantedWhileClientIsConnectedAndUnanswered() {
        RequestProxyHarness.RecordingClient client = harness.new RecordingClient();
        harness.submit(client);
        harness.startAttempt(1, 7);
        Backends.AttemptListener listener = harness.attemptListeners.get(0);
        assertTrue(listener.isStillWanted());

        client.setConnected(false);
        assertFalse(listener.isStillWanted());

        client.setConnected(true);
        harness.perform(new RejectRequest(1, 0));
        assertFalse(listener.isStillWanted());
    }

    /**
     * The stream of a stalled client is no work for its backend: the load balancer counts it no more and hears no end.
     */
    @Test
    public void stalledClientEndsAttemptForLoadBalancerOnly() {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startResponse(0);
        harness.timers.advance(0);
        harness.attemptListeners.get(0).onClientStalled();
        harness.attemptListeners.get(0).onClientStalled();
        harness.timers.advance(0);
        int eventCount = harness.events.size();
        assertEquals(AttemptOutcome.CANCELLED, harness.lastReportedOutcome());
        assertEquals(1, harness.proxy.openRequests());

        harness.endAttempt(0, EndReason.COMPLETED);
        harness.timers.advance(0);

        assertEquals(eventCount, harness.events.size());
        assertEquals(0, harness.proxy.openRequests());
    }

    @Test
    public void stallIsReportedOnceForTheLoadBalancer() {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startResponse(0);

        harness.attemptListeners.get(0).onClientStalled();
        harness.attemptListeners.get(0).onClientStalled();

        assertEquals(
                1,
                harness.events.stream()
                        .filter(event -> event instanceof AttemptEnded)
                        .count());
    }

    @Test
    public void retryWithIdempotencyKeyIsNotSentAfterItsWindow() {
        harness = new RequestProxyHarness(
                "profiles.count=1\nprofiles.0.effect=keyed\nprofiles.0.group=zone\nprofiles.0.window-ns=50000000");
        harness.submit();
        harness.startAttempt(1, 7);
        harness.endAttempt(0, EndReason.CONNECT_FAILED);
        harness.timers.advance(10 * MS);
        long firstExecutionAt = harness.timers.now();
        harness.startAttempt(1, 7);
        harness.timers.advance(10 * MS);
        harness.endAttempt(1, EndReason.CONNECTION_LOST);

        harness.startAttempt(1, 8);

        assertEquals(
                "counted from the first that may have run, less what the process may be held up for",
                List.of(Long.MAX_VALUE, Long.MAX_VALUE, firstExecutionAt + 50 * MS - Backends.MAX_PROCESS_STALL_NANOS),
                harness.sendDeadlines);
    }
}
