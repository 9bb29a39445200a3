package fawnlb.metrics;

import fawnlb.metrics.Metrics.Metric;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * What must hold at every moment, whatever clients, backends and discovery do. Each is checked where it would be
 * broken, by facts of that place and not by those on which the step was decided. A violation is counted and logged, and
 * the step is not taken where it can still be left out.
 */
public enum Invariant {
    /** A request gets one final answer. */
    ONE_FINAL_ANSWER,
    /** A connection whose request was read is not closed by the node before an answer has begun. */
    ANSWERED_BEFORE_CLOSE,
    /** No attempt beside another one of its request, after its final answer, or beyond the number that is allowed. */
    ONE_ATTEMPT_AT_A_TIME,
    /** What may have run is repeated and refused only as its class allows. */
    REPEATED_AS_EFFECT_ALLOWS,
    /** Nothing is sent to a backend that drains or has left. */
    NOT_SENT_TO_LEAVING_BACKEND,
    /** The deadline that a backend is told is no later than that of the client, with 0.15 s of slack. */
    DEADLINE_TOLD_IN_TIME,
    /** Nobody waits for a message that was not taken. */
    MESSAGE_TAKEN;

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;
    private static final Logger LOG = Logger.getLogger(Invariant.class.getName());

    private final AtomicLong lastLoggedAt = new AtomicLong(System.nanoTime() - LOG_INTERVAL_NANOS);

    /**
     * Counts a violation, and logs it at most once a second.
     *
     * @param subject the id of the request, or what else the violation concerns
     */
    public void reportViolation(String subject, String detail) {
        Metrics.increment(Metric.INVARIANT_VIOLATIONS, this);
        long now = System.nanoTime();
        long last = lastLoggedAt.get();
        if (now - last >= LOG_INTERVAL_NANOS && lastLoggedAt.compareAndSet(last, now)) {
            LOG.severe("invariant " + name() + " violated: " + subject + ": " + detail);
        }
    }

    /** Whether the condition holds; counts a violation if it does not, and only then asks for the request's name. */
    public boolean check(boolean condition, Supplier<String> subject, String detail) {
        if (!condition) {
            reportViolation(subject.get(), detail);
        }
        return condition;
    }
}
