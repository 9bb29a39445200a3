package fawnlb.metrics;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * What must hold at every moment, whatever clients, backends and the discovery service do. The code that takes a step
 * checks the invariant itself, by facts of that place and not by those on which the step was decided. A violation is
 * counted and logged, and the caller leaves the step out where it still can.
 *
 * <p>Safe for all threads. The constants' names stand in log lines and on the operators' pages, their labels in
 * {@code /metrics}.
 */
public enum Invariant {
    /** A request gets one final answer. */
    ONE_FINAL_ANSWER("one_final_answer"),
    /** A connection whose request was read is not closed by the load balancer before an answer has begun. */
    ANSWERED_BEFORE_CLOSE("answered_before_close"),
    /**
     * No attempt is started beside another one of its request, after its final answer, or beyond the allowed number.
     */
    ONE_ATTEMPT_AT_A_TIME("one_attempt_at_a_time"),
    /** A request that may have been executed is retried and rejected only as the idempotency of its class allows. */
    REPEATED_AS_EFFECT_ALLOWS("repeated_as_effect_allows"),
    /** Nothing is sent to a backend that is draining or was removed. */
    NOT_SENT_TO_LEAVING_BACKEND("not_sent_to_leaving_backend"),
    /** The deadline that a backend is given is no later than that of the client, with 0.15 s of tolerance. */
    DEADLINE_TOLD_IN_TIME("deadline_told_in_time"),
    /** Nobody waits for a message that a mailbox did not take. */
    MESSAGE_TAKEN("message_taken");

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;
    private static final Logger LOG = Logger.getLogger(Invariant.class.getName());

    private final String label;
    private final AtomicLong lastLoggedAt = new AtomicLong(System.nanoTime() - LOG_INTERVAL_NANOS);

    Invariant(String label) {
        this.label = label;
    }

    /** The invariant's name in {@code /metrics}. It is an external name and must not change. */
    public String label() {
        return label;
    }

    /**
     * Counts a violation, and logs it unless one of the same invariant was logged within the last second.
     *
     * @param subject the request, or what else the violation concerns
     * @param detail what happened
     */
    public void reportViolation(String subject, String detail) {
        Metrics.increment(Metric.INVARIANT_VIOLATIONS, label);
        long now = System.nanoTime();
        long last = lastLoggedAt.get();
        if (now - last >= LOG_INTERVAL_NANOS && lastLoggedAt.compareAndSet(last, now)) {
            LOG.severe(LogLine.event("invariant violated")
                    .with("invariant", name())
                    .with("subject", subject)
                    .reason(detail)
                    .toString());
        }
    }

    /**
     * Returns the condition, and reports a violation if it is false.
     *
     * @param subject asked only for a violation
     */
    public boolean check(boolean condition, Supplier<String> subject, String detail) {
        if (!condition) {
            reportViolation(subject.get(), detail);
        }
        return condition;
    }
}
