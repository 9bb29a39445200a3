package fawnlb.policy;

/**
 * Sheds load under overload: it rejects a fraction of the sessions on arrival, in the order of their hash. These are
 * the same sessions at every instance, so that the others keep their cached prompts.
 *
 * <p>Two signs show overload. First tokens are late, or attempts end full or timed out, more often than
 * {@link #OVERLOAD_THRESHOLD} at half of the endpoints; a few slow or unreachable ones are no overload, since the
 * others can serve what they can't. Or streams fall below their pace while first tokens are still in time, as too many
 * responses run or cached prompts are lost; that state sustains itself until enough sessions are rejected to bring the
 * streams back to {@link #SLOW_STREAMS} times their best pace.
 */
final class AdmissionController {
    /** A smaller fraction of late attempts is no overload; measured on the first site. */
    static final double OVERLOAD_THRESHOLD = 0.1;
    /** Some sessions always pass: with none, no response could show that the overload is over. */
    static final double MAX_SHED_FRACTION = 0.9;
    /** Up to this multiple of the best pace is ordinary load; measured on the first site. */
    static final double SLOW_STREAMS = 2.2;
    /** A first token counts as late from this fraction of its objective on, before the objective is missed. */
    static final double LATE_OBJECTIVE_FRACTION = 0.8;

    /** Attempts of one endpoint over which its late fraction is averaged. */
    private static final int LATE_SAMPLES = 16;
    /** Makes the order in which sessions are shed independent of their place on the ring. */
    private static final long SHED_SALT = 0x5ca1ab1eL;

    private final EndpointTable endpoints;
    private final StreamPaceTracker pace;
    private final TenantQuotas quotas;

    AdmissionController(EndpointTable endpoints, StreamPaceTracker pace, TenantQuotas quotas) {
        this.endpoints = endpoints;
        this.pace = pace;
        this.quotas = quotas;
    }

    void onRestart(EndpointState endpoint) {
        endpoint.lateFraction = 0;
    }

    /** Notes a first token of a request on an endpoint. */
    void recordFirstToken(EndpointState endpoint, ActiveRequest request, long elapsedNanos) {
        boolean late = elapsedNanos > request.firstTokenObjectiveNanos * LATE_OBJECTIVE_FRACTION;
        record(endpoint, late ? 1 : 0);
    }

    /** Notes that an endpoint was full or timed out before a first token. */
    void recordOverload(EndpointState endpoint) {
        record(endpoint, 1);
    }

    private static void record(EndpointState endpoint, int late) {
        endpoint.lateFraction += (late - endpoint.lateFraction) / LATE_SAMPLES;
    }

    /** Counts a request that has arrived, and says whether it is to be rejected. */
    boolean shouldShed(ActiveRequest request) {
        int tenant = request.arrival.tenantIndex();
        quotas.recordRequest(tenant);
        double slowStreams = 1 - SLOW_STREAMS * pace.bestMedian() / pace.median();
        double late = endpoints.readyMedian(endpoint -> endpoint.lateFraction) - OVERLOAD_THRESHOLD;
        double fraction = Math.max(late, slowStreams) * quotas.shedFactor(tenant);
        return fraction > 0
                && SplitMix64.toUnitInterval(request.sessionKey ^ SHED_SALT) < Math.min(MAX_SHED_FRACTION, fraction);
    }
}
