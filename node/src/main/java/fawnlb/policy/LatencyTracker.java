package fawnlb.policy;

/**
 * Tracks how long endpoints take to their first token, and how long they have been silent while attempts await theirs.
 *
 * <p>A count of requests in flight says nothing of how fast it shrinks: an endpoint that has slowed down or fallen
 * silent would hold as many requests as the others and answer them late. While its first tokens take more than
 * {@link #SLOW_MULTIPLE} times as long as usual, or it has said nothing for that long, its bound shrinks in proportion.
 * That ends with the first tokens that come as usual again.
 */
final class LatencyTracker {
    /** Measured on the first site. */
    static final double SLOW_MULTIPLE = 2;
    /** No latency below this fraction of a request's first-token objective matters. */
    static final double NEGLIGIBLE_OBJECTIVE_FRACTION = 0.05;

    /** Samples over which the usual latency of all endpoints is averaged. */
    private static final int BASELINE_SAMPLES = 64;
    /** Samples over which the latency of one endpoint is averaged. */
    private static final int ENDPOINT_SAMPLES = 8;

    private double baselineNanos;

    void onRestart(EndpointState endpoint) {
        endpoint.firstTokenLatencyNanos = 0;
    }

    void onAttemptStarted(EndpointState endpoint, long now) {
        if (endpoint.awaitingFirstToken == 0) {
            endpoint.silentSince = now;
        }
        endpoint.awaitingFirstToken++;
    }

    /** Notes that an attempt no longer awaits its first token because the endpoint did something. */
    void onSignOfLife(EndpointState endpoint, long now) {
        endpoint.awaitingFirstToken--;
        endpoint.silentSince = now;
    }

    /** Notes that an attempt no longer awaits its first token, though the endpoint said nothing. */
    void onGivenUp(EndpointState endpoint) {
        endpoint.awaitingFirstToken--;
    }

    /**
     * Records a first token, or the time in which none came. No slow endpoint moves the usual latency far: one sample
     * counts as {@link #SLOW_MULTIPLE} times the usual at most.
     */
    void record(EndpointState endpoint, double elapsedNanos) {
        if (baselineNanos == 0) {
            baselineNanos += elapsedNanos;
        } else {
            baselineNanos += (Math.min(elapsedNanos, SLOW_MULTIPLE * baselineNanos) - baselineNanos) / BASELINE_SAMPLES;
        }
        endpoint.firstTokenLatencyNanos += (elapsedNanos - endpoint.firstTokenLatencyNanos) / ENDPOINT_SAMPLES;
    }

    /** What first tokens take over all endpoints; 0 as long as none has come. */
    double baselineNanos() {
        return baselineNanos;
    }

    /** The fraction of its bound that an endpoint may use, for a request with this first-token objective. */
    double capacityFraction(EndpointState endpoint, double objectiveNanos, long now) {
        long silentNanos = endpoint.awaitingFirstToken > 0 ? now - endpoint.silentSince : 0;
        double latency = Math.max(endpoint.firstTokenLatencyNanos, silentNanos);
        double bearable = SLOW_MULTIPLE * Math.max(baselineNanos, NEGLIGIBLE_OBJECTIVE_FRACTION * objectiveNanos);
        return latency <= bearable ? 1 : bearable / latency;
    }
}
