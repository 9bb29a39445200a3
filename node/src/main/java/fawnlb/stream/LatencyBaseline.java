package fawnlb.stream;

import java.util.HashMap;
import java.util.Map;

/**
 * What is usual for the gaps between events and for the wait for the first one, by backend and by the fleet. A wait is
 * held against the middle one of prompts of its length, so that a backend that reads long prompts does not look slow.
 * Times are nanoseconds.
 */
final class LatencyBaseline {
    /** A threshold from fewer values says little. */
    private static final int MIN_SAMPLES = 30;
    /** Once in a thousand: nothing is given up for being like the others. */
    private static final double FLEET_SUSPICION_LEVEL = 3;

    private static final int PROMPT_LENGTH_BUCKETS = 20;
    private static final double MEDIAN_STEP = 0.1;

    private final Map<Long, LatencyEstimators> estimatorsByBackend = new HashMap<>();
    private final ExcessDistribution gapExcess = new ExcessDistribution();
    private final ExcessDistribution waitExcess = new ExcessDistribution();
    /** All backends as if they were one, with a shape of its own: it holds their differences too. */
    private final LatencyEstimators fleetEstimators =
            new LatencyEstimators(new ExcessDistribution(), new ExcessDistribution());

    private final double[] medianLogWaits = new double[PROMPT_LENGTH_BUCKETS];

    private static final class LatencyEstimators {
        private final TailQuantileEstimator gaps;
        private final TailQuantileEstimator waits;

        LatencyEstimators(ExcessDistribution gapExcess, ExcessDistribution waitExcess) {
            gaps = new TailQuantileEstimator(gapExcess);
            waits = new TailQuantileEstimator(waitExcess);
        }
    }

    private LatencyEstimators estimatorsOf(long backend) {
        return estimatorsByBackend.computeIfAbsent(backend, key -> new LatencyEstimators(gapExcess, waitExcess));
    }

    void gap(long backend, long nanos) {
        estimatorsOf(backend).gaps.add(nanos);
        fleetEstimators.gaps.add(nanos);
    }

    /** A first event came after so long. */
    void wait(long backend, double promptTokens, long nanos) {
        int bucket = promptLengthBucket(promptTokens);
        double logWait = Math.log(Math.max(1, nanos));
        medianLogWaits[bucket] = medianLogWaits[bucket] == 0
                ? logWait
                : medianLogWaits[bucket] + Math.signum(logWait - medianLogWaits[bucket]) * MEDIAN_STEP;
        double ratio = nanos / Math.exp(medianLogWaits[bucket]);
        estimatorsOf(backend).waits.add(ratio);
        fleetEstimators.waits.add(ratio);
    }

    /** A wait was given up after so long: without it, what is usual would shrink to what is allowed. */
    void recordAbandonedWait(long backend, double promptTokens, long nanos) {
        int bucket = promptLengthBucket(promptTokens);
        if (medianLogWaits[bucket] != 0) {
            double ratio = nanos / Math.exp(medianLogWaits[bucket]);
            estimatorsOf(backend).waits.addLowerBound(ratio);
            fleetEstimators.waits.addLowerBound(ratio);
        }
    }

    /** Prompts of about one length, a factor of two apart. */
    private static int promptLengthBucket(double tokens) {
        return (int) Math.min(PROMPT_LENGTH_BUCKETS - 1, Math.max(0, Math.log(Math.max(1, tokens)) / Math.log(2)));
    }

    /** The gap that is exceeded with probability {@code 10^-phi}, {@link Long#MAX_VALUE} while that is not known. */
    long gap(long backend, double phi) {
        LatencyEstimators estimators = estimatorsByBackend.get(backend);
        return (long) backendOrFleetQuantile(estimators == null ? null : estimators.gaps, fleetEstimators.gaps, phi);
    }

    /** The same for the wait for the first event; of a prompt of a length not met yet nothing is known either. */
    long wait(long backend, double promptTokens, double phi) {
        LatencyEstimators estimators = estimatorsByBackend.get(backend);
        long medianNanos = medianWaitNanos(promptTokens);
        return medianNanos == 0
                ? Long.MAX_VALUE
                : (long) Math.min(
                        Long.MAX_VALUE,
                        medianNanos
                                * backendOrFleetQuantile(
                                        estimators == null ? null : estimators.waits, fleetEstimators.waits, phi));
    }

    /** The middle wait with prompts of this length, 0 while there has been none. */
    long medianWaitNanos(double promptTokens) {
        double medianLogWait = medianLogWaits[promptLengthBucket(promptTokens)];
        return medianLogWait == 0 ? 0 : (long) Math.exp(medianLogWait);
    }

    /** What the backend has shown to be usual, and at the least what is ordinary among all. */
    private static double backendOrFleetQuantile(
            TailQuantileEstimator backendEstimator, TailQuantileEstimator fleetEstimator, double phi) {
        if (fleetEstimator.sampleCount() < MIN_SAMPLES) {
            return Long.MAX_VALUE;
        }
        return backendEstimator == null || backendEstimator.sampleCount() < MIN_SAMPLES
                ? fleetEstimator.quantile(phi)
                : Math.max(
                        backendEstimator.quantile(phi), fleetEstimator.quantile(Math.min(phi, FLEET_SUSPICION_LEVEL)));
    }

    void forget(long backend) {
        estimatorsByBackend.remove(backend);
    }
}
