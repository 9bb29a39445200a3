package fawnlb.stream;

import fawnlb.decision.AttemptOutcome;

/** An end and where it struck: the one name that the log, the syslog record and the client's answer use. */
public record AttemptEnd(EndReason reason, ResponseProgress progress) {

    /** For ends that don't depend on how far the answer had come. */
    public static AttemptEnd of(EndReason reason) {
        return new AttemptEnd(reason, ResponseProgress.BEFORE_HEAD);
    }

    /** Such as {@code stalled-midway} or {@code reader-left}. */
    public String label() {
        return reason.dependsOnProgress() ? reason.label() + '-' + progress.label() : reason.label();
    }

    /** Whether the backend said nothing in time, rather than something wrong. */
    public boolean isTimeout() {
        return reason == EndReason.STALLED || reason == EndReason.TIMED_OUT;
    }

    public AttemptOutcome outcome() {
        return reason.outcome();
    }
}
