package fawnlb.membership;

import fawnlb.decision.Balancer.ListKind;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides when a node calls service discovery: it keeps one subscription alive, and spreads the calls of many nodes
 * that lost theirs together. No I/O and no clock; times are nanoseconds of one clock that never goes back. It belongs
 * to one thread.
 *
 * <p>What discovery has counts as told after {@link #COUNTS_AS_TOLD}. A heartbeat that is missed, the pauses below
 * after it and after two calls that are refused at once, and the time of the call that is answered stay within that; so
 * do two calls that are never answered, or one and one that is refused, and their pauses.
 */
public final class SubscriptionSchedule {
    private static final long SECOND = 1_000_000_000L;

    /** The operators' bound on the time from the moment at which discovery has a change and can be reached. */
    public static final long COUNTS_AS_TOLD = 6 * SECOND;
    /**
     * The longest pause between a call that failed and the next one, however many failed; but for calls that had
     * waited.
     */
    public static final long MAX_PAUSE = SECOND + SECOND / 10;
    /**
     * The longest pause after a call that had waited for its turn and was refused. At the shorter one all callers of a
     * large fleet together keep the queue longer than a call may wait, so that nobody is answered any more. It leaves
     * time for the call that waited (2 s) and for one that is answered within a second.
     */
    public static final long MAX_PAUSE_AFTER_WAIT = 3 * SECOND;
    /**
     * The longest pause after a call that was never answered. It has taken long enough: two of them in a row, and the
     * call that is answered then, are to stay within what counts as told.
     */
    private static final long MAX_PAUSE_AFTER_SILENCE = SECOND / 4;
    /** Each node adds so much to the pause after a call that had waited, up to that. */
    private static final long PAUSE_PER_NODE = SECOND / 33;
    /** Nodes that start make their first call within so long, however many they are. */
    private static final long MAX_FIRST_PAUSE = 2 * SECOND;
    /**
     * The nodes of a fleet add up to so many calls a second at most, as long as {@link #MAX_PAUSE} allows it: the first
     * pause is drawn from zero to the time in which all of them make one call at this pace, and later ones are longer
     * still.
     */
    private static final long CALLS_PER_SECOND = 50;
    /** The pause doubles with each failure, up to this exponent. */
    private static final int MAX_DOUBLINGS = 4;
    /**
     * Later pauses are this part of the longest one at least: a node calls once a second at most, and its phase is
     * kept.
     */
    private static final double MIN_PART = 10.0 / 11;
    /** After a call that had waited the pauses differ more: nodes whose calls came together are to come apart. */
    private static final double MIN_PART_AFTER_WAIT = 0.2;

    private final int nodes;
    private final long askWithin;
    private final DoubleSupplier random;
    private boolean following;
    private long nextCall;
    private int failedCalls;

    /**
     * Creates a schedule that has heard nothing.
     *
     * @param nodes how many nodes call the same discovery
     * @param askWithin how old a list may become without a subscription, in nanoseconds
     * @param random draws from 0 to 1
     */
    public SubscriptionSchedule(int nodes, long askWithin, DoubleSupplier random) {
        this.nodes = nodes;
        this.askWithin = askWithin;
        this.random = random;
    }

    /**
     * Notes what was heard of discovery.
     *
     * @return when to look again whether a call is due; empty while the subscription is alive
     */
    public OptionalLong heard(long now, ListKind kind) {
        boolean before = following;
        following = kind == ListKind.DELTA || kind == ListKind.FULL;
        if (following) {
            failedCalls = 0;
            return OptionalLong.empty();
        }
        // A subscription that is lost is no call that failed: the first one after it may be made at once.
        failedCalls += kind.failed() && !before ? 1 : 0;
        nextCall = now + pause(maxPause(kind), kind == ListKind.CROWDED ? MIN_PART_AFTER_WAIT : MIN_PART);
        return OptionalLong.of(nextCall);
    }

    private long maxPause(ListKind kind) {
        return switch (kind) {
            case CACHED -> MAX_FIRST_PAUSE;
            case CROWDED -> Math.max(MAX_PAUSE, Math.min(MAX_PAUSE_AFTER_WAIT, nodes * PAUSE_PER_NODE));
            case UNANSWERED -> MAX_PAUSE_AFTER_SILENCE;
            default -> MAX_PAUSE;
        };
    }

    private long pause(long maxPause, double minPart) {
        long spread = Math.min(askWithin / 5, nodes * (SECOND / CALLS_PER_SECOND));
        spread = Math.min(spread << Math.min(failedCalls, MAX_DOUBLINGS), maxPause);
        long least = failedCalls > 0 ? (long) (spread * minPart) : 0;
        return least + (long) (random.getAsDouble() * (spread - least));
    }

    /**
     * Whether to subscribe now.
     *
     * @param tolerance how early a timer may come, in nanoseconds
     */
    public boolean isDue(long now, long tolerance) {
        return !following && now + tolerance >= nextCall;
    }

    /** Notes that a call was made; when to look again, in case nothing is heard of it. */
    public long called(long now) {
        nextCall = now + askWithin / 2;
        return nextCall;
    }
}
