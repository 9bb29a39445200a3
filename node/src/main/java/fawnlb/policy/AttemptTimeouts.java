package fawnlb.policy;

import fawnlb.decision.Idempotency;

/**
 * Sets the deadlines of attempts. An endpoint that vanished or was cut off answers nothing, and waiting for it to the
 * end would cost the request. So the first attempt of an idempotent request is given up while there is time to be in
 * time elsewhere; but not where first tokens take about that long at present, nor without budget for a retry.
 */
final class AttemptTimeouts {
    /** The other half of the first-token objective is left for the retry. */
    static final double FIRST_ATTEMPT_OBJECTIVE_FRACTION = 0.5;
    /** A shorter time without a first token may be a long prompt; measured on the first site. */
    static final double BASELINE_LATENCY_MULTIPLE = 6;

    private final RetryBudget budget;
    private final LatencyTracker latency;

    AttemptTimeouts(RetryBudget budget, LatencyTracker latency) {
        this.budget = budget;
        this.latency = latency;
    }

    /** The deadline of the request's latest attempt, which starts now, given how many endpoints are ready. */
    long deadline(ActiveRequest request, long now, int readyEndpoints) {
        boolean canRetryElsewhere = request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                && request.attemptCount() == 1
                && budget.allowsRetry()
                && readyEndpoints > 1;
        double timeout = Math.max(
                FIRST_ATTEMPT_OBJECTIVE_FRACTION * request.firstTokenObjectiveNanos,
                BASELINE_LATENCY_MULTIPLE * latency.baselineNanos());
        boolean isEarly = canRetryElsewhere && timeout < request.lastUsefulAt - now;
        return isEarly ? now + (long) timeout : request.lastUsefulAt;
    }
}
