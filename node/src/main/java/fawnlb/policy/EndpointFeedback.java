package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;

/** Passes on to all that track endpoints what attempts tell of them. */
final class EndpointFeedback {
    private final EndpointTable endpoints;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final LatencyTracker latency;
    private final StreamPaceTracker pace;
    private final AdmissionController admission;

    EndpointFeedback(
            EndpointTable endpoints,
            SlowStart slowStart,
            OutlierDetector outliers,
            LatencyTracker latency,
            StreamPaceTracker pace,
            AdmissionController admission) {
        this.endpoints = endpoints;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.latency = latency;
        this.pace = pace;
        this.admission = admission;
    }

    /** An endpoint was listed with another start time: what is known of it belongs to an earlier process. */
    void onRestart(EndpointState endpoint, long startedAt, long now) {
        outliers.onRestart(endpoint);
        latency.onRestart(endpoint);
        admission.onRestart(endpoint);
        slowStart.onRestart(endpoint, startedAt, now, endpoints.warmCount());
    }

    void onAttemptStarted(EndpointState endpoint, ActiveRequest request, long now) {
        endpoints.onAttemptStarted(endpoint);
        latency.onAttemptStarted(endpoint, now);
        slowStart.onAttemptStarted(endpoint, request.work, now, endpoints.warmCount());
    }

    void onResponseStarted(Attempt attempt, ActiveRequest request, long elapsedNanos, long now) {
        EndpointState endpoint = attempt.endpoint;
        latency.onSignOfLife(endpoint, now);
        latency.record(endpoint, elapsedNanos);
        outliers.onResponseStarted(endpoint);
        admission.recordFirstToken(endpoint, request, elapsedNanos);
    }

    void onAttemptEnded(Attempt attempt, ActiveRequest request, AttemptOutcome outcome, long elapsedNanos, long now) {
        EndpointState endpoint = attempt.endpoint;
        endpoints.onAttemptEnded(endpoint);
        if (!attempt.responseStarted) {
            recordWithoutResponse(endpoint, outcome, elapsedNanos, now);
        } else if (outcome == AttemptOutcome.SERVED) {
            pace.record(endpoint, request, elapsedNanos - attempt.firstTokenNanos);
        }
        outliers.onAttemptEnded(endpoint, outcome, attempt.responseStarted, now);
        if (outcome == AttemptOutcome.FULL || isSilence(outcome) && !attempt.responseStarted) {
            admission.recordOverload(endpoint);
        }
    }

    private void recordWithoutResponse(EndpointState endpoint, AttemptOutcome outcome, long elapsedNanos, long now) {
        if (isSilence(outcome)) {
            latency.onGivenUp(endpoint);
            latency.record(endpoint, elapsedNanos);
        } else if (outcome == AttemptOutcome.CANCELLED) {
            latency.onGivenUp(endpoint);
        } else {
            latency.onSignOfLife(endpoint, now);
        }
    }

    private static boolean isSilence(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.STALLED;
    }
}
