package fawnlb.policy;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;

/**
 * What this instance knows of one endpoint. It holds fields only: each group below is written by the class that is
 * named there, and read by the classes that select endpoints. The fields stand in one flat object because the median
 * over all ready endpoints is taken for each request.
 */
final class EndpointState {
    final EndpointId id;

    // As listed; written by EndpointTable.
    EndpointPhase phase = EndpointPhase.GONE;
    long startedAt;
    int zone;
    int cell;
    int capacity = Endpoint.UNLIMITED_CAPACITY;
    boolean onRing;
    /** The number of the last pass over endpoints that met this one, see {@link EndpointTable#nextPass}. */
    long lastPass;

    /** Attempts of this instance that have not ended; written by {@link EndpointTable}. */
    int inFlight;

    // Slow start; written by SlowStart.
    boolean inSlowStart;
    long slowStartNextAttemptAt;

    // Outlier detection; written by OutlierDetector.
    int consecutiveFailures;
    /** Failures that stand until a response completes, since streams of this endpoint stalled. */
    int stallFailures;

    long ejectedUntil;

    // First tokens; written by LatencyTracker.
    double firstTokenLatencyNanos;
    int awaitingFirstToken;
    /** When this endpoint last gave a sign of life to those that await their first token. */
    long silentSince;

    /** The part of recent attempts that were late; written by {@link AdmissionController}. */
    double lateFraction;

    // Pace of streams; written by StreamPaceTracker.
    double streamSlowdown = 1;
    int streamSamples;
    /** What is known of all endpoints of this kind; set before the endpoint becomes ready. */
    StreamPaceTracker.KindPace kindPace;

    EndpointState(EndpointId id) {
        this.id = id;
    }

    boolean isReady() {
        return phase == EndpointPhase.READY;
    }

    boolean isGone() {
        return phase == EndpointPhase.GONE;
    }
}
