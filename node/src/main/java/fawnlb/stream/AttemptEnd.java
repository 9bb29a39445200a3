package fawnlb.stream;

import fawnlb.decision.AttemptOutcome;

/**
 * How an attempt has ended, and how far its response had come. Its label is the one name that the log, the syslog
 * record, the metrics and the client's error response use.
 */
public record AttemptEnd(EndReason reason, ResponseProgress progress) {

    /** Returns an end for which it does not matter how far the response had come. */
    public static AttemptEnd of(EndReason reason) {
        return new AttemptEnd(reason, ResponseProgress.BEFORE_HEAD);
    }

    /** Returns the end's name, such as {@code stalled-midway} or {@code reader-left}. */
    public String label() {
        return reason.dependsOnProgress() ? reason.label() + '-' + progress.label() : reason.label();
    }

    /** Whether the backend sent no event in time, rather than something that can't be read. */
    public boolean isTimeout() {
        return reason == EndReason.STALLED || reason == EndReason.NO_PROGRESS || reason == EndReason.TIMED_OUT;
    }

    /** Whether the backend, or the way to it, has ended the attempt before its response was complete. */
    public boolean isFaultOfBackend() {
        return reason.dependsOnProgress();
    }

    /** What the load balancer gets to know of the attempt's end. */
    public AttemptOutcome outcome() {
        return reason.outcome();
    }
}
