package fawnlb.stream;

import fawnlb.decision.AttemptOutcome;

/**
 * Why an attempt and its stream have ended. Each reason has a label, which logs, metrics and responses show, and an
 * outcome, which the load balancer gets.
 */
public enum EndReason {
    /** The answer is complete, and the client has all of it or will get it. */
    COMPLETED("whole", AttemptOutcome.SERVED, false),
    /** The backend found the request itself wrong, and its error goes to the client. */
    REJECTED("rejected", AttemptOutcome.SERVED, false),
    /** The backend answered that it did not run the request, or a health check was not answered with 200. */
    NOT_ACCEPTED("turned-away", AttemptOutcome.FULL, false),
    /** The backend answered with an error of its own. */
    BACKEND_ERROR("failed", AttemptOutcome.ERROR, false),
    /** No connection came up, or it was lost before the request's last byte was written. */
    CONNECT_FAILED("not-connected", AttemptOutcome.CONNECT_FAILED, false),
    /** The request was not sent, for a reason on this instance's side. */
    NOT_SENT("not-sent", AttemptOutcome.NEVER_SENT, false),
    /** The backend's connection stayed open and was silent for too long. */
    STALLED("stalled", AttemptOutcome.STALLED, true),
    /** The backend sent bytes for too long that became no event of the answer. */
    NO_PROGRESS("no-progress", AttemptOutcome.STALLED, true),
    /** The backend's connection was closed or reset. */
    CONNECTION_LOST("broken", AttemptOutcome.RESET, true),
    /** The response can't be read, or is longer than is buffered. */
    MALFORMED("unreadable", AttemptOutcome.RESET, true),
    /** The response's framing ended before the answer was complete. */
    TRUNCATED("cut-short", AttemptOutcome.RESET, true),
    /** The attempt's deadline passed. */
    TIMED_OUT("out-of-time", AttemptOutcome.TIMEOUT, false),
    /** The load balancer cancelled the attempt. */
    CANCELLED("called-off", AttemptOutcome.CANCELLED, false),
    /** The client closed its connection. */
    CLIENT_DISCONNECTED("reader-left", AttemptOutcome.CANCELLED, false),
    /** The client read nothing for the client timeout. */
    CLIENT_STALLED("reader-stopped", AttemptOutcome.CANCELLED, false),
    /** Too many bytes were buffered for all streams, and this stream was the one to be evicted. */
    BUFFER_LIMIT_REACHED("crowded-out", AttemptOutcome.CANCELLED, false);

    private final String label;
    private final AttemptOutcome outcome;
    private final boolean dependsOnProgress;

    EndReason(String label, AttemptOutcome outcome, boolean dependsOnProgress) {
        this.label = label;
        this.outcome = outcome;
        this.dependsOnProgress = dependsOnProgress;
    }

    /** The reason's name in logs, metrics, the admin page and error responses. */
    public String label() {
        return label;
    }

    /** What the load balancer gets to know of the attempt's end. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Whether the label of an attempt's end also states how far the response had come. */
    public boolean dependsOnProgress() {
        return dependsOnProgress;
    }
}
