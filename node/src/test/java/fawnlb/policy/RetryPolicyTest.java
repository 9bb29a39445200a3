package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import org.junit.Test;

public class RetryPolicyTest {
    private static final int MAX_ATTEMPTS = 3;

    private static ActiveRequest attempted(int attempts) {
        ActiveRequest request = PolicyFixtures.request(7);
        for (int i = 0; i < attempts; i++) {
            request.addAttempt(PolicyFixtures.endpoint(i), NOW);
        }
        return request;
    }

    private static int retriesAllowed(RetryBudget budget, AttemptOutcome outcome) {
        RetryPolicy policy = new RetryPolicy(MAX_ATTEMPTS, budget);
        int retries = 0;
        while (retries < 100 && policy.tryRetry(attempted(1), outcome, NOW)) {
            retries++;
        }
        return retries;
    }

    @Test
    public void burstIsSharedByTheInstancesAndOneEachAtLeast() {
        assertEquals(10, retriesAllowed(new RetryBudget(1), AttemptOutcome.ERROR));
        assertEquals(5, retriesAllowed(new RetryBudget(2), AttemptOutcome.ERROR));
        assertEquals(1, retriesAllowed(new RetryBudget(100), AttemptOutcome.ERROR));
        assertEquals(10, retriesAllowed(new RetryBudget(0), AttemptOutcome.ERROR));
    }

    @Test
    public void everyFifthRequestAllowsARetryAndTheBurstIsNotExceeded() {
        RetryBudget budget = new RetryBudget(1);
        assertEquals(10, retriesAllowed(budget, AttemptOutcome.ERROR));
        for (int i = 0; i < 16; i++) {
            budget.onRequest();
        }
        assertEquals(3, retriesAllowed(budget, AttemptOutcome.ERROR));
        for (int i = 0; i < 1000; i++) {
            budget.onRequest();
        }
        assertEquals(10, retriesAllowed(budget, AttemptOutcome.ERROR));
    }

    @Test
    public void failedConnectsAreRetriedForFree() {
        RetryBudget budget = new RetryBudget(1);
        assertEquals(100, retriesAllowed(budget, AttemptOutcome.CONNECT_FAILED));
        assertEquals(10, retriesAllowed(budget, AttemptOutcome.ERROR));
        assertEquals("also without budget", 100, retriesAllowed(budget, AttemptOutcome.CONNECT_FAILED));
    }

    @Test
    public void attemptsAndTimeAreLimited() {
        RetryPolicy policy = new RetryPolicy(MAX_ATTEMPTS, new RetryBudget(1));
        assertTrue(policy.tryRetry(attempted(2), AttemptOutcome.ERROR, NOW));
        assertFalse(policy.tryRetry(attempted(3), AttemptOutcome.ERROR, NOW));
        ActiveRequest late = attempted(1);
        assertTrue(policy.tryRetry(late, AttemptOutcome.ERROR, late.lastUsefulAt - 1));
        assertFalse(policy.tryRetry(late, AttemptOutcome.ERROR, late.lastUsefulAt));
    }

    @Test
    public void cancelledAttemptsAreNotRetried() {
        assertEquals(0, retriesAllowed(new RetryBudget(1), AttemptOutcome.CANCELLED));
    }
}
