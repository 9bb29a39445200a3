package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import org.junit.Test;

public class AttemptTimeoutsTest {
    private final RetryBudget budget = new RetryBudget(10);
    private final LatencyTracker latency = new LatencyTracker();
    private final AttemptTimeouts timeouts = new AttemptTimeouts(budget, latency);
    private final ActiveRequest request = PolicyFixtures.request(7);

    private long deadline(int readyEndpoints) {
        request.addAttempt(PolicyFixtures.endpoint(1), NOW);
        return timeouts.deadline(request, NOW, readyEndpoints);
    }

    @Test
    public void firstAttemptLeavesTimeForAnother() {
        assertEquals(NOW + S / 2, deadline(2));
    }

    @Test
    public void laterAttemptsMayUseAllTheTime() {
        deadline(2);
        assertEquals(NOW + S, deadline(2));
    }

    @Test
    public void attemptMayUseAllTheTimeWithoutOtherEndpoints() {
        assertEquals(NOW + S, deadline(1));
    }

    @Test
    public void attemptMayUseAllTheTimeWithoutBudgetForARetry() {
        budget.spend();
        assertEquals(NOW + S, deadline(2));
    }

    @Test
    public void attemptIsNotGivenUpWhileFirstTokensTakeLong() {
        latency.record(PolicyFixtures.endpoint(2), 150 * MS);
        assertEquals(NOW + 900 * MS, deadline(2));
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        latency.record(PolicyFixtures.endpoint(2), S);
        ActiveRequest next = PolicyFixtures.request(8);
        next.addAttempt(PolicyFixtures.endpoint(1), NOW);
        assertEquals(NOW + S, timeouts.deadline(next, NOW, 2));
    }

    @Test
    public void requestThatMayNotRunTwiceWaitsToTheEnd() {
        for (Idempotency idempotency : new Idempotency[] {Idempotency.NOT_IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY}) {
            ActiveRequest once = PolicyFixtures.request(PolicyFixtures.requestClass(idempotency, IdempotencyScope.ALL));
            once.addAttempt(PolicyFixtures.endpoint(1), NOW);
            assertEquals(NOW + S, timeouts.deadline(once, NOW, 2));
        }
    }
}
