package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import org.junit.Test;

public class ActiveRequestTest {
    private static ActiveRequest withTokens(
            double promptTokens, double maxTokens, long timeoutNanos, double lateWeight) {
        RequestArrived arrival =
                new RequestArrived(1, 0, 0, 7, 0, timeoutNanos, 0, promptTokens, 0, maxTokens, false, false, false);
        RequestClass requestClass = new RequestClass(
                Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, S, 2 * MS, 4 * S, 0, 1, lateWeight, true);
        return new ActiveRequest(arrival, requestClass, NOW);
    }

    @Test
    public void placementKeyIsThePrefixThenTheSessionThenTheRequest() {
        assertEquals(9, PolicyFixtures.request(7, 9).placementKey);
        assertEquals(7, PolicyFixtures.request(7, 0).placementKey);
        ActiveRequest alone = PolicyFixtures.request(0, 0);
        assertEquals(SplitMix64.mix(1), alone.placementKey);
        assertEquals(alone.sessionKey, alone.placementKey);
        assertTrue(PolicyFixtures.request(7, 9).hasPrefix());
        assertFalse(alone.hasPrefix());
    }

    @Test
    public void workAndObjectiveGrowWithThePrompt() {
        ActiveRequest request = withTokens(500, 200, 4 * S, 0);
        assertEquals(701, request.work, 0);
        assertEquals(2 * S, request.firstTokenObjectiveNanos, 0);
    }

    @Test
    public void malformedTokenCountsAreZero() {
        for (double malformed : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -5, 1e12}) {
            ActiveRequest request = withTokens(malformed, malformed, 4 * S, 0);
            assertEquals(1, request.work, 0);
            assertEquals(S, request.firstTokenObjectiveNanos, 0);
        }
    }

    @Test
    public void firstTokensAreUsefulUntilTheObjectiveOrTheDeadline() {
        assertEquals(NOW + S, withTokens(0, 0, 4 * S, 0).lastUsefulAt);
        assertEquals("late tokens are worth something", NOW + 4 * S, withTokens(0, 0, 4 * S, 0.5).lastUsefulAt);
        assertEquals("the client leaves earlier", NOW + S / 2, withTokens(0, 0, S / 2, 0).lastUsefulAt);
        assertEquals(NOW, withTokens(0, 0, -1, 0).lastUsefulAt);
        assertEquals(NOW + S, withTokens(0, 0, Long.MAX_VALUE, 0).lastUsefulAt);
        assertEquals(Long.MAX_VALUE, withTokens(0, 0, Long.MAX_VALUE, 0.5).lastUsefulAt);
    }

    @Test
    public void attemptsAreCountedUntilTheyEnd() {
        ActiveRequest request = PolicyFixtures.request(7);
        EndpointState first = PolicyFixtures.endpoint(1);
        EndpointState second = PolicyFixtures.endpoint(2);
        request.addAttempt(first, NOW);
        assertTrue(request.hasAttemptsInFlight());
        request.endAttempt(request.attempt(0), false);
        assertFalse(request.hasAttemptsInFlight());
        request.addAttempt(second, NOW);
        assertEquals(2, request.attemptCount());
        assertTrue(request.wasTriedOn(first) && request.wasTriedOn(second));
        assertFalse(request.wasTriedOn(PolicyFixtures.endpoint(3)));
        assertNull(request.attempt(2));
    }

    @Test
    public void firstAttemptThatMayHaveRunSkipsThoseThatDidNot() {
        ActiveRequest request = PolicyFixtures.request(7);
        assertNull(request.firstThatMayHaveRun());
        request.addAttempt(PolicyFixtures.endpoint(1), NOW);
        assertSame(request.attempt(0), request.firstThatMayHaveRun());
        request.endAttempt(request.attempt(0), false);
        assertNull(request.firstThatMayHaveRun());
        request.addAttempt(PolicyFixtures.endpoint(2), NOW);
        assertSame(request.attempt(1), request.firstThatMayHaveRun());
        assertNotEquals(request.attempt(0), request.attempt(1));
    }
}
