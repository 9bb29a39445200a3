package fawnlb.proxy;

import static fawnlb.proxy.RequestProxyHarness.MS;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerEvent.ClientDisconnected;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import fawnlb.stream.EndReason;
import java.util.List;
import org.junit.Test;

/** Which fixed answer a client gets, and that it gets one by the final deadline. */
public class FinalAnswersTest {
    private static final long AFTER_FINAL_DEADLINE = 116 * MS;

    private RequestProxyHarness harness = new RequestProxyHarness();

    /** Submits a request whose only attempt ends for the given reason, and of which the load balancer says no more. */
    private void reachFinalDeadlineAfter(EndReason reason) {
        harness.submit();
        harness.startAttempt(1, 7);
        harness.endAttempt(0, reason);
        harness.timers.advance(AFTER_FINAL_DEADLINE);
    }

    @Test
    public void silentLoadBalancerLeavesRequestRejectedAtFinalDeadline() {
        harness.submit();

        harness.timers.advance(AFTER_FINAL_DEADLINE);

        assertEquals(List.of("refused null 1000"), harness.observed);
        assertTrue(harness.events.get(1) instanceof ClientDisconnected);
        assertEquals(0, harness.proxy.openRequests());
    }

    /**
     * On a busy thread the load balancer's own answer can come later than the final deadline; its client must not
     * retry.
     */
    @Test
    public void finalDeadlineFailsRequestThatMayNotRunTwice() {
        reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);
        assertEquals(List.of("forward 7", "failed broken-before-head"), harness.observed);
    }

    @Test
    public void missedDeadlineIsLoggedWithTheClientsRequestId() {
        try (CapturedLog log = new CapturedLog(FinalDeadlines.class.getName())) {
            reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);

            assertEquals(
                    List.of("request had no answer at its deadline"
                            + " request_id=r-1 sequence=1 attempts=1 active_attempts=0"),
                    log.lines());
        }
    }

    @Test
    public void finalDeadlineRejectsRequestThatNeverRan() {
        reachFinalDeadlineAfter(EndReason.NOT_ACCEPTED);
        assertEquals(List.of("forward 7", "refused turned-away 1000"), harness.observed);
    }

    @Test
    public void finalDeadlineRejectsIdempotentRequest() {
        harness = new RequestProxyHarness("profiles.count=1\nprofiles.0.effect=safe");
        reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);
        assertEquals(List.of("forward 7", "refused broken-before-head 1000"), harness.observed);
    }

    @Test
    public void finalDeadlineRejectsRequestWhoseKeyAllBackendsKnow() {
        harness = new RequestProxyHarness("profiles.count=1\nprofiles.0.effect=keyed\nprofiles.0.group=all");
        reachFinalDeadlineAfter(EndReason.CONNECTION_LOST);
        assertEquals(List.of("forward 7", "refused broken-before-head 1000"), harness.observed);
    }

    @Test
    public void forbiddenRejectionOfPossiblyExecutedRequestIsAnsweredAsFailure() {
        long violations = Metrics.value(Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows");
        harness = new RequestProxyHarness("profiles.count=1\nprofiles.0.effect=unsafe");
        harness.submit();
        harness.startAttempt(1, 7);
        harness.endAttempt(0, EndReason.CONNECTION_LOST);

        harness.perform(new RejectRequest(1, 5));

        String answer = harness.observed.get(harness.observed.size() - 1);
        assertTrue(answer, answer.startsWith("failed"));
        assertEquals(violations + 1, Metrics.value(Metric.INVARIANT_VIOLATIONS, "repeated_as_effect_allows"));
    }
}
