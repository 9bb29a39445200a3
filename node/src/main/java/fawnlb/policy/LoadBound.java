package fawnlb.policy;

/**
 * The bound of consistent hashing with bounded loads: how many requests in flight an endpoint may have before the next
 * one on the ring is used. It is 1.25 times the even share.
 *
 * <p>When many requests find their first endpoint at the bound, no endpoint is hot but all are saturated, and spilling
 * only trades cached prompts for uncached ones. So the bound widens step by step while more than
 * {@link #SPILL_THRESHOLD} of the last requests would leave their first endpoint, and narrows again below that.
 */
final class LoadBound {
    /**
     * An instance with little traffic would have a bound of one: a second request for an endpoint would leave its
     * cached prompt for a neighbor that other instances pick at the same moment. So the bound is never below this.
     */
    static final int MIN_BOUND = 2;
    /** The bound without widening, in thousandths. */
    static final long UNWIDENED = 1000;

    static final long MAX_WIDENING = 4 * UNWIDENED;
    /** Fewer spills than this come from hot keys, not from saturation; measured on the first site. */
    static final double SPILL_THRESHOLD = 0.1;

    /** The bound is the even share times this fraction, 1.25, which the design sets. */
    private static final int FACTOR_NUMERATOR = 5;

    private static final int FACTOR_DENOMINATOR = 4;
    /** Requests over which the spilled fraction is averaged. */
    private static final int SPILL_SAMPLES = 64;
    /** Each request changes the widening by one part in this many. */
    private static final int WIDENING_STEP = 100;

    private double spilledFraction;
    private long widening = UNWIDENED;

    /** The bound for the next request, given the requests in flight and the endpoints that share them. */
    long limit(long inFlight, long endpoints) {
        return Math.max(MIN_BOUND, bound(inFlight, endpoints, widening));
    }

    /** Rounds 1.25 * (inFlight + 1) / endpoints up in whole numbers, widened by this many thousandths. */
    static long bound(long inFlight, long endpoints, long widening) {
        long divisor = FACTOR_DENOMINATOR * UNWIDENED * Math.max(1, endpoints);
        return (FACTOR_NUMERATOR * widening * (inFlight + 1) + divisor - 1) / divisor;
    }

    /** Notes that a request was placed on the first endpoint of its key. */
    void recordPlaced() {
        record(0);
    }

    /** Notes that a request left the first endpoint of its key because of the bound. */
    void recordSpilled() {
        record(1);
    }

    private void record(int spilled) {
        spilledFraction += (spilled - spilledFraction) / SPILL_SAMPLES;
        long step = spilledFraction > SPILL_THRESHOLD ? widening : -widening;
        widening = Math.max(UNWIDENED, Math.min(MAX_WIDENING, widening + step / WIDENING_STEP));
    }
}
