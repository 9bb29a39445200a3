package fawnlb.lab.rules;

import java.util.concurrent.TimeUnit;

/** The rules on streams whose backend sends what becomes no event, or writes slowly. Under the checker's lock. */
final class ProgressRules {
    /** How long a client may wait after a running backend's last event, with the tolerance of all time limits. */
    private static final long CLIENT_WAIT_NANOS = 5_050_000_000L;

    private final Violations violations;
    private int responsesWithoutProgress;
    private int slowResponses;

    ProgressRules(Violations violations) {
        this.violations = violations;
    }

    void onProgressEnded(long now, TrackedRequest request) {
        request.progressEndedAt = now;
        responsesWithoutProgress++;
    }

    void onSlowWritingStarted() {
        slowResponses++;
    }

    void onSlowAnswerCut(String requestId, TrackedRequest request, long writingNanos) {
        if (!request.waived) {
            violations.add(
                    Rule.SLOW_ANSWER_NOT_CUT,
                    requestId + " was cut off by " + request.node + " after "
                            + TimeUnit.NANOSECONDS.toMillis(writingNanos)
                            + " ms of an event that was being written");
        }
    }

    void onStreamBroken(long now, String requestId, TrackedRequest request) {
        if (!request.waived && now - CLIENT_WAIT_NANOS > request.progressEndedAt) {
            violations.add(
                    Rule.NO_WAIT_WITHOUT_PROGRESS,
                    requestId + " was left waiting by " + request.node + " for "
                            + TimeUnit.NANOSECONDS.toMillis(now - request.progressEndedAt)
                            + " ms after its last event");
        }
    }

    /** Returns how many responses went on without an event, and how many had one that was written slowly. */
    String totals() {
        return responsesWithoutProgress + ", " + slowResponses;
    }
}
