package fawnlb.membership;

import fawnlb.decision.EndpointUpdateKind;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides when an instance calls service discovery. It keeps one watch open, and spreads the calls of many instances
 * that lost theirs at the same time.
 *
 * <p>A change must be known within {@link #NOTIFICATION_DEADLINE_NANOS}. The limits below are chosen so that these
 * sequences stay within it: a missed heartbeat and two calls that are refused at once, with the backoff after each and
 * the time of the call that is answered; two calls that are never answered; one such call and one that is refused.
 *
 * <p>It does no I/O and reads no clock: times are nanoseconds of one clock that never goes back. It belongs to one
 * thread.
 */
public final class SubscriptionSchedule {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * How soon an instance must know of a change, from when discovery has it and can be reached; the operators demand
     * it.
     */
    public static final long NOTIFICATION_DEADLINE_NANOS = 6 * NANOS_PER_SECOND;
    /**
     * The longest backoff after a failed call, however many have failed; a call that was throttled has a longer one.
     */
    public static final long MAX_BACKOFF_NANOS = NANOS_PER_SECOND + NANOS_PER_SECOND / 10;
    /**
     * The longest backoff after a call that was throttled: it queued at the service and was refused. With the shorter
     * one the calls of a large fleet keep the queue longer than a call may wait, so that no instance is answered any
     * more. This one leaves time for the call that has queued (2 s) and for one that is answered within a second.
     */
    public static final long MAX_BACKOFF_AFTER_THROTTLE_NANOS = 3 * NANOS_PER_SECOND;
    /**
     * The longest backoff after a call that was never answered. The call itself has taken long: two of them in a row,
     * and the one that is answered then, must stay within the notification deadline.
     */
    private static final long MAX_BACKOFF_AFTER_TIMEOUT_NANOS = NANOS_PER_SECOND / 4;
    /** How much each instance of the fleet adds to the longest backoff after a throttled call. */
    private static final long BACKOFF_PER_INSTANCE_NANOS = NANOS_PER_SECOND / 33;
    /** The longest delay of the first call after a start, however large the fleet is. */
    private static final long MAX_INITIAL_DELAY_NANOS = 2 * NANOS_PER_SECOND;
    /**
     * How many calls a second all instances make together at most, as long as {@link #MAX_BACKOFF_NANOS} allows it. The
     * first backoff is drawn from zero to the time in which each instance makes one call at this rate; later ones are
     * longer.
     */
    private static final long MAX_FLEET_CALLS_PER_SECOND = 50;
    /** How often the backoff doubles, once for each failed call. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /**
     * The shortest backoff after a failed call, as a fraction of the longest: an instance calls once a second at most,
     * and instances that called at different times go on doing so.
     */
    private static final double MIN_BACKOFF_FRACTION = 10.0 / 11;
    /** The same after a throttled call. The range is wider, to spread instances whose calls came together. */
    private static final double MIN_BACKOFF_FRACTION_AFTER_THROTTLE = 0.2;

    /** A base backoff allows this number of calls before the endpoint list becomes too old. */
    private static final int MIN_CALLS_PER_POLL_DEADLINE = 5;

    private final int instanceCount;
    private final long pollDeadlineNanos;
    private final DoubleSupplier random;
    private boolean watching;
    private long nextCallAt;
    private int consecutiveFailures;

    /**
     * Creates a schedule that knows nothing of discovery.
     *
     * @param instanceCount how many instances call the same discovery
     * @param pollDeadlineNanos how old a list may become without a watch, in nanoseconds
     * @param random draws from 0 to 1
     */
    public SubscriptionSchedule(int instanceCount, long pollDeadlineNanos, DoubleSupplier random) {
        this.instanceCount = instanceCount;
        this.pollDeadlineNanos = pollDeadlineNanos;
        this.random = random;
    }

    /**
     * Takes what discovery has said, or how a call to it has failed.
     *
     * @return when to ask {@link #isCallDue}; empty while the watch is open
     */
    public OptionalLong onDiscoveryUpdate(long now, EndpointUpdateKind kind) {
        boolean wasWatching = watching;
        watching = kind == EndpointUpdateKind.DELTA || kind == EndpointUpdateKind.FULL;
        if (watching) {
            consecutiveFailures = 0;
            return OptionalLong.empty();
        }
        // A watch that is lost is not a failed call: the first call after it may be made at once.
        consecutiveFailures += kind.isFailure() && !wasWatching ? 1 : 0;
        nextCallAt = now + drawBackoffNanos(maxBackoffNanos(kind), minBackoffFraction(kind));
        return OptionalLong.of(nextCallAt);
    }

    private long maxBackoffNanos(EndpointUpdateKind kind) {
        return switch (kind) {
            case CACHED -> MAX_INITIAL_DELAY_NANOS;
            case THROTTLED -> maxBackoffAfterThrottleNanos();
            case TIMED_OUT -> MAX_BACKOFF_AFTER_TIMEOUT_NANOS;
            default -> MAX_BACKOFF_NANOS;
        };
    }

    /** It grows with the fleet, whose calls all queue at the same service. */
    private long maxBackoffAfterThrottleNanos() {
        long fleetBackoffNanos = Math.min(MAX_BACKOFF_AFTER_THROTTLE_NANOS, instanceCount * BACKOFF_PER_INSTANCE_NANOS);
        return Math.max(MAX_BACKOFF_NANOS, fleetBackoffNanos);
    }

    private static double minBackoffFraction(EndpointUpdateKind kind) {
        return kind == EndpointUpdateKind.THROTTLED ? MIN_BACKOFF_FRACTION_AFTER_THROTTLE : MIN_BACKOFF_FRACTION;
    }

    private long drawBackoffNanos(long maxBackoffNanos, double minFraction) {
        long fleetIntervalNanos = instanceCount * (NANOS_PER_SECOND / MAX_FLEET_CALLS_PER_SECOND);
        long baseNanos = Math.min(pollDeadlineNanos / MIN_CALLS_PER_POLL_DEADLINE, fleetIntervalNanos);
        long grownNanos = baseNanos << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        long longestNanos = Math.min(grownNanos, maxBackoffNanos);
        long shortestNanos = consecutiveFailures > 0 ? (long) (longestNanos * minFraction) : 0;
        return shortestNanos + (long) (random.getAsDouble() * (longestNanos - shortestNanos));
    }

    /**
     * Whether to make a call now.
     *
     * @param toleranceNanos how early a timer may come, in nanoseconds
     */
    public boolean isCallDue(long now, long toleranceNanos) {
        return !watching && now + toleranceNanos >= nextCallAt;
    }

    /**
     * Takes note that a call was made.
     *
     * @return when to ask {@link #isCallDue} again, in case nothing comes of the call
     */
    public long onCallStarted(long now) {
        nextCallAt = now + pollDeadlineNanos / 2;
        return nextCallAt;
    }
}
