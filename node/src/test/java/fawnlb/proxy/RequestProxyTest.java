package fawnlb.proxy;

import static fawnlb.proxy.RequestProxyHarness.MS;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.stream.EndReason;
import java.util.List;
import org.junit.Test;

/** Admission of requests, clients that leave, and errors that nobody expected. */
public class RequestProxyTest {
    private final RequestProxyHarness harness = new RequestProxyHarness();

    @Test
    public void submitReturnsNullAtTheLimitOfOpenRequests() {
        assertNotNull(harness.submit());
        assertNotNull(harness.submit());
        assertNull(harness.submit());

        harness.perform(new RejectRequest(1, 0));

        assertNotNull(harness.submit());
    }

    /**
     * The client waits 100 ms from its arrival, of which the proxy keeps 10; up to 100 ms in a queue are not counted.
     */
    @Test
    public void deadlineRunsFromArrivalWhereRequestWaitedForBusyThread() {
        harness.timers.setMaxEventAgeNanos(130 * MS);
        harness.submit();

        harness.startAttempt(1, 7);

        assertEquals(List.of(harness.timers.now() + 60 * MS), harness.responseDeadlines);
    }

    @Test
    public void clientDisconnectCancelsAttemptWithoutAnswer() {
        RequestProxy.RequestHandle handle = harness.submit();
        harness.startAttempt(1, 7);

        handle.onClientDisconnected();
        handle.onClientDisconnected();

        assertEquals(List.of("forward 7", "stop 1 reader-left"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
    }

    @Test
    public void clientDisconnectStopsStream() {
        RequestProxy.RequestHandle handle = harness.submit();
        harness.startAttempt(1, 7);
        harness.startResponse(0);

        handle.onClientDisconnected();
        handle.onClientDisconnected();

        assertEquals(List.of("forward 7", "streaming", "stop 1 reader-left"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
    }

    @Test
    public void uncaughtErrorOnArrivalFailsOnlyTheAffectedRequest() {
        harness.failOn(RequestArrived.class);
        harness.submit();

        assertEquals(List.of("failed null"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
        harness.failOn(null);
        harness.assertNextRequestIsServed();
    }

    @Test
    public void uncaughtErrorOnAttemptEndFailsOnlyTheAffectedRequest() {
        harness.failOn(AttemptEnded.class);
        harness.submit();
        harness.startAttempt(1, 7);
        harness.endAttempt(0, EndReason.BACKEND_ERROR);

        assertEquals(List.of("forward 7", "failed failed"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
        harness.failOn(null);
        harness.assertNextRequestIsServed();
    }

    @Test
    public void uncaughtErrorOnResponseStartLeavesTheStreamAlone() {
        harness.failOn(ResponseStarted.class);
        harness.submit();
        harness.startAttempt(1, 7);
        harness.startResponse(0);
        harness.endAttempt(0, EndReason.COMPLETED);

        assertEquals(List.of("forward 7", "streaming"), harness.observed);
        assertEquals(0, harness.proxy.openRequests());
        harness.failOn(null);
        harness.assertNextRequestIsServed();
    }
}
