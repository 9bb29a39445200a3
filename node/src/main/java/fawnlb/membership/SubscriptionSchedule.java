package fawnlb.membership;

import fawnlb.decision.EndpointUpdateKind;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides when a node calls service discovery: it keeps one subscription alive, and spreads the calls of many nodes
 * that lost theirs together. No I/O and no clock; times are nanoseconds of one clock that never goes back. It belongs
 * to one thread.
 *
 * <p>What discovery has counts as told after {@link #NOTIFICATION_DEADLINE_NANOS}. A heartbeat that is missed, the
 * pauses below after it and after two calls that are refused at once, and the time of the call that is answered stay
 * within that; so do two calls that are never answered, or one and one that is refused, and their pauses.
 */
public final class SubscriptionSchedule {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The operators' bound on the time from the moment at which discovery has a change and can be reached. */
    public static final long NOTIFICATION_DEADLINE_NANOS = 6 * NANOS_PER_SECOND;
    /**
     * The longest pause between a call that failed and the next one, however many failed; but for calls that had
     * waited.
     */
    public static final long MAX_BACKOFF_NANOS = NANOS_PER_SECOND + NANOS_PER_SECOND / 10;
    /**
     * The longest pause after a call that had waited for its turn and was refused. At the shorter one all callers of a
     * large fleet together keep the queue longer than a call may wait, so that nobody is answered any more. It leaves
     * time for the call that waited (2 s) and for one that is answered within a second.
     */
    public static final long MAX_BACKOFF_AFTER_THROTTLE_NANOS = 3 * NANOS_PER_SECOND;
    /**
     * The longest pause after a call that was never answered. It has taken long enough: two of them in a row, and the
     * call that is answered then, are to stay within what counts as told.
     */
    private static final long MAX_BACKOFF_AFTER_TIMEOUT_NANOS = NANOS_PER_SECOND / 4;
    /** Each node adds so much to the pause after a call that had waited, up to that. */
    private static final long BACKOFF_PER_INSTANCE_NANOS = NANOS_PER_SECOND / 33;
    /** Nodes that start make their first call within so long, however many they are. */
    private static final long MAX_INITIAL_DELAY_NANOS = 2 * NANOS_PER_SECOND;
    /**
     * The nodes of a fleet add up to so many calls a second at most, as long as {@link #MAX_BACKOFF_NANOS} allows it:
     * the first pause is drawn from zero to the time in which all of them make one call at this pace, and later ones
     * are longer still.
     */
    private static final long MAX_FLEET_CALLS_PER_SECOND = 50;
    /** The pause doubles with each failure, up to this exponent. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /**
     * Later pauses are this part of the longest one at least: a node calls once a second at most, and its phase is
     * kept.
     */
    private static final double MIN_BACKOFF_FRACTION = 10.0 / 11;
    /** After a call that had waited the pauses differ more: nodes whose calls came together are to come apart. */
    private static final double MIN_BACKOFF_FRACTION_AFTER_THROTTLE = 0.2;

    private final int instanceCount;
    private final long pollDeadlineNanos;
    private final DoubleSupplier random;
    private boolean watching;
    private long nextCallAt;
    private int consecutiveFailures;

    /**
     * Creates a schedule that has heard nothing.
     *
     * @param instanceCount how many nodes call the same discovery
     * @param pollDeadlineNanos how old a list may become without a subscription, in nanoseconds
     * @param random draws from 0 to 1
     */
    public SubscriptionSchedule(int instanceCount, long pollDeadlineNanos, DoubleSupplier random) {
        this.instanceCount = instanceCount;
        this.pollDeadlineNanos = pollDeadlineNanos;
        this.random = random;
    }

    /**
     * Notes what was heard of discovery.
     *
     * @return when to look again whether a call is due; empty while the subscription is alive
     */
    public OptionalLong onDiscoveryUpdate(long now, EndpointUpdateKind kind) {
        boolean wasWatching = watching;
        watching = kind == EndpointUpdateKind.DELTA || kind == EndpointUpdateKind.FULL;
        if (watching) {
            consecutiveFailures = 0;
            return OptionalLong.empty();
        }
        // A subscription that is lost is no call that failed: the first one after it may be made at once.
        consecutiveFailures += kind.isFailure() && !wasWatching ? 1 : 0;
        nextCallAt = now
                + backoffNanos(
                        maxBackoffNanos(kind),
                        kind == EndpointUpdateKind.THROTTLED
                                ? MIN_BACKOFF_FRACTION_AFTER_THROTTLE
                                : MIN_BACKOFF_FRACTION);
        return OptionalLong.of(nextCallAt);
    }

    private long maxBackoffNanos(EndpointUpdateKind kind) {
        return switch (kind) {
            case CACHED -> MAX_INITIAL_DELAY_NANOS;
            case THROTTLED ->
                Math.max(
                        MAX_BACKOFF_NANOS,
                        Math.min(MAX_BACKOFF_AFTER_THROTTLE_NANOS, instanceCount * BACKOFF_PER_INSTANCE_NANOS));
            case TIMED_OUT -> MAX_BACKOFF_AFTER_TIMEOUT_NANOS;
            default -> MAX_BACKOFF_NANOS;
        };
    }

    private long backoffNanos(long maxBackoffNanos, double minFraction) {
        long longestNanos =
                Math.min(pollDeadlineNanos / 5, instanceCount * (NANOS_PER_SECOND / MAX_FLEET_CALLS_PER_SECOND));
        longestNanos = Math.min(longestNanos << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS), maxBackoffNanos);
        long shortestNanos = consecutiveFailures > 0 ? (long) (longestNanos * minFraction) : 0;
        return shortestNanos + (long) (random.getAsDouble() * (longestNanos - shortestNanos));
    }

    /**
     * Whether to subscribe now.
     *
     * @param toleranceNanos how early a timer may come, in nanoseconds
     */
    public boolean isCallDue(long now, long toleranceNanos) {
        return !watching && now + toleranceNanos >= nextCallAt;
    }

    /** Notes that a call was made; when to look again, in case nothing is heard of it. */
    public long onCallStarted(long now) {
        nextCallAt = now + pollDeadlineNanos / 2;
        return nextCallAt;
    }
}
