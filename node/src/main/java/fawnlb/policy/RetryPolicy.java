package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;

/** Decides whether a request is tried again after all of its attempts have failed. */
final class RetryPolicy {
    private final int maxAttempts;
    private final RetryBudget budget;

    RetryPolicy(int maxAttempts, RetryBudget budget) {
        this.maxAttempts = maxAttempts;
        this.budget = budget;
    }

    /**
     * Whether to try again after this outcome. A retry is charged to the budget, unless the attempt never met an
     * endpoint and so cost none of them any work.
     */
    boolean tryRetry(ActiveRequest request, AttemptOutcome outcome, long now) {
        boolean isFree = outcome == AttemptOutcome.CONNECT_FAILED;
        boolean isAllowed = (isFree || budget.allowsRetry())
                && request.attemptCount() < maxAttempts
                && outcome != AttemptOutcome.CANCELLED
                && now < request.lastUsefulAt;
        if (isAllowed && !isFree) {
            budget.spend();
        }
        return isAllowed;
    }
}
