package fawnlb.policy;

/** Combines what limits the use of single endpoints: whether one may be used at all, and up to which bound. */
final class EndpointCapacity {
    /**
     * Endpoints that a rollout replaces next receive this fraction, so that few of their streams are cut; measured on
     * the first site.
     */
    static final double NEXT_IN_ROLLOUT_FRACTION = 0.3;
    /** While streams take this many times as long as at best, every endpoint is needed. */
    static final double MAX_ROLLOUT_SLOWDOWN = 1.6;

    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final LatencyTracker latency;
    private final RolloutPredictor rollout;
    private final StreamPaceTracker pace;

    EndpointCapacity(
            OutlierDetector outliers,
            SlowStart slowStart,
            LatencyTracker latency,
            RolloutPredictor rollout,
            StreamPaceTracker pace) {
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.latency = latency;
        this.rollout = rollout;
        this.pace = pace;
    }

    /** Whether an endpoint may be sent a request now; {@code zoneCount}: zones with a ready endpoint. */
    boolean isAvailable(EndpointState endpoint, int zoneCount, long now) {
        return !outliers.isEjected(endpoint, zoneCount, now)
                && !slowStart.isResting(endpoint, now)
                && endpoint.awaitingFirstToken < endpoint.capacity;
    }

    /** How many requests an endpoint may have in flight, one at least, given the bound of an ordinary one. */
    long limit(EndpointState endpoint, long bound, ActiveRequest request, long now) {
        double fraction = latency.capacityFraction(endpoint, request.firstTokenObjectiveNanos, now);
        fraction *= slowStart.capacityFraction(endpoint, now);
        fraction *= isReleased(endpoint, now) ? NEXT_IN_ROLLOUT_FRACTION : 1;
        return Math.max(1, (long) (bound * fraction));
    }

    private boolean isReleased(EndpointState endpoint, long now) {
        return rollout.isNext(endpoint, now) && pace.median() < MAX_ROLLOUT_SLOWDOWN * pace.bestMedian();
    }
}
