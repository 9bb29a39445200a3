package fawnlb.stream;

import fawnlb.decision.EndpointId;
import java.util.HashMap;
import java.util.Map;

/**
 * The usual latencies of each backend and of the whole fleet: the gaps between the events of a stream, and the waits
 * for its first event. A wait is measured in multiples of the median wait of prompts of about the same length, so that
 * a backend that gets long prompts does not look slow. Belongs to the thread of its registry.
 */
final class LatencyBaseline {
    /** Fewer values don't determine the 90% quantile on which an estimate rests. */
    private static final int MIN_SAMPLES = 30;
    /**
     * A backend is never held to less than what the fleet exceeds once in 10^3: it must not be suspect for being like
     * the others.
     */
    private static final double FLEET_SUSPICION_LEVEL = 3;

    /** Buckets of prompt lengths, each twice as long as the one before: up to 2^19 tokens. */
    private static final int PROMPT_LENGTH_BUCKETS = 20;

    /** The step of the median, on the logarithm: it follows a change by a factor of two within some ten values. */
    private static final double MEDIAN_STEP = 0.1;

    private final Map<EndpointId, LatencyEstimators> estimatorsByBackend = new HashMap<>();
    private final ExcessDistribution gapExcess = new ExcessDistribution();
    private final ExcessDistribution waitExcess = new ExcessDistribution();
    /** All backends as if they were one; the tail has a shape of its own, since it contains their differences. */
    private final LatencyEstimators fleetEstimators =
            new LatencyEstimators(new ExcessDistribution(), new ExcessDistribution());

    /** The median of the logarithm of the waits, by bucket of prompt length; 0 while there was none. */
    private final double[] medianLogWaits = new double[PROMPT_LENGTH_BUCKETS];

    /** The estimators of one backend, or of the fleet. */
    private static final class LatencyEstimators {
        private final TailQuantileEstimator gaps;
        private final TailQuantileEstimator waits;

        LatencyEstimators(ExcessDistribution gapExcess, ExcessDistribution waitExcess) {
            gaps = new TailQuantileEstimator(gapExcess);
            waits = new TailQuantileEstimator(waitExcess);
        }
    }

    private LatencyEstimators estimatorsOf(EndpointId backend) {
        return estimatorsByBackend.computeIfAbsent(backend, key -> new LatencyEstimators(gapExcess, waitExcess));
    }

    /** Learns the time between two events, or between two chunks of them. */
    void recordGap(EndpointId backend, long nanos) {
        estimatorsOf(backend).gaps.add(nanos);
        fleetEstimators.gaps.add(nanos);
    }

    /** Learns the time from the start of an attempt to its first event. */
    void recordWait(EndpointId backend, double promptTokens, long nanos) {
        int bucket = promptLengthBucket(promptTokens);
        double logWait = Math.log(Math.max(1, nanos));
        medianLogWaits[bucket] = medianLogWaits[bucket] == 0
                ? logWait
                : medianLogWaits[bucket] + Math.signum(logWait - medianLogWaits[bucket]) * MEDIAN_STEP;
        double ratio = nanos / Math.exp(medianLogWaits[bucket]);
        estimatorsOf(backend).waits.add(ratio);
        fleetEstimators.waits.add(ratio);
    }

    /**
     * Learns a wait that was ended after this time, as a lower bound. If such waits were left out, the usual wait would
     * shrink with every one of them.
     */
    void recordAbandonedWait(EndpointId backend, double promptTokens, long nanos) {
        int bucket = promptLengthBucket(promptTokens);
        if (medianLogWaits[bucket] != 0) {
            double ratio = nanos / Math.exp(medianLogWaits[bucket]);
            estimatorsOf(backend).waits.addLowerBound(ratio);
            fleetEstimators.waits.addLowerBound(ratio);
        }
    }

    private static int promptLengthBucket(double tokens) {
        return (int) Math.min(PROMPT_LENGTH_BUCKETS - 1, Math.max(0, Math.log(Math.max(1, tokens)) / Math.log(2)));
    }

    /**
     * Returns the gap that is exceeded with probability {@code 10^-phi}, {@link Long#MAX_VALUE} while that is not
     * known.
     */
    long gapNanos(EndpointId backend, double phi) {
        LatencyEstimators estimators = estimatorsByBackend.get(backend);
        return (long) backendOrFleetQuantile(estimators == null ? null : estimators.gaps, fleetEstimators.gaps, phi);
    }

    /**
     * Returns the wait for the first event that is exceeded with probability {@code 10^-phi}, {@link Long#MAX_VALUE}
     * while that is not known for prompts of this length.
     */
    long waitNanos(EndpointId backend, double promptTokens, double phi) {
        LatencyEstimators estimators = estimatorsByBackend.get(backend);
        long medianNanos = medianWaitNanos(promptTokens);
        if (medianNanos == 0) {
            return Long.MAX_VALUE;
        }
        double medianMultiple =
                backendOrFleetQuantile(estimators == null ? null : estimators.waits, fleetEstimators.waits, phi);
        return (long) Math.min(Long.MAX_VALUE, medianNanos * medianMultiple);
    }

    /** Returns the median wait of prompts of about this length, 0 while there was none. */
    long medianWaitNanos(double promptTokens) {
        double medianLogWait = medianLogWaits[promptLengthBucket(promptTokens)];
        return medianLogWait == 0 ? 0 : (long) Math.exp(medianLogWait);
    }

    /**
     * The backend's own quantile, at least the fleet's ordinary one; the fleet's while the backend has too few values.
     */
    private static double backendOrFleetQuantile(
            TailQuantileEstimator backendEstimator, TailQuantileEstimator fleetEstimator, double phi) {
        if (fleetEstimator.sampleCount() < MIN_SAMPLES) {
            return Long.MAX_VALUE;
        }
        if (backendEstimator == null || backendEstimator.sampleCount() < MIN_SAMPLES) {
            return fleetEstimator.quantile(phi);
        }
        return Math.max(backendEstimator.quantile(phi), fleetEstimator.quantile(Math.min(phi, FLEET_SUSPICION_LEVEL)));
    }

    /** Drops the values of a backend; those of the fleet stay. */
    void forget(EndpointId backend) {
        estimatorsByBackend.remove(backend);
    }
}
