package fawnlb.stream;

/**
 * The upper end of a positive quantity that changes slowly, from a stream of its values: what is exceeded with a given
 * small probability, also one far too small to have been met.
 *
 * <p>Method: peaks over a threshold. The threshold follows the 90% quantile by stochastic approximation (Robbins and
 * Monro, 1951) on the logarithm of the values; what lies above it has the shape that {@link ExcessDistribution} tells
 * of all sources together. Heavy tails make what is allowed longer instead of being taken for a failure. Values and
 * thresholds have the same unit.
 */
final class TailQuantileEstimator {
    private static final double EXCEEDANCE_PROBABILITY = 0.1;
    private static final double THRESHOLD_PHI = -Math.log10(EXCEEDANCE_PROBABILITY);
    /** Steps of the threshold: long ones at first, then such as forget within some hundred values. */
    private static final double MIN_STEP = 0.04;
    /** The threshold's first steps say nothing of the tail. */
    private static final int MIN_SAMPLES_FOR_EXCESS = 20;

    private final ExcessDistribution excess;
    private double logThreshold;
    private long sampleCount;

    TailQuantileEstimator(ExcessDistribution excess) {
        this.excess = excess;
    }

    void add(double value) {
        add(Math.log(Math.max(value, 1e-9)), 0);
    }

    /** The value is not known, only that it was more than this: a wait that was cut off. */
    void addLowerBound(double value) {
        // By the tail's own law what lies beyond is on average one mean excess further.
        add(Math.log(Math.max(value, 1e-9)), excess.mean());
    }

    private void add(double logValue, double expectedExcess) {
        sampleCount++;
        if (sampleCount == 1) {
            logThreshold = logValue;
            return;
        }
        if (logValue > logThreshold && sampleCount > MIN_SAMPLES_FOR_EXCESS) {
            excess.add(logValue + expectedExcess - logThreshold);
        }
        logThreshold += Math.max(MIN_STEP, 1.0 / sampleCount)
                * (logValue > logThreshold ? 1 - EXCEEDANCE_PROBABILITY : -EXCEEDANCE_PROBABILITY);
    }

    long sampleCount() {
        return sampleCount;
    }

    /** What is exceeded with probability {@code 10^-phi}; phi at least 1. */
    double quantile(double phi) {
        return Math.exp(Math.min(100, logThreshold)) * excess.thresholdMultiple(Math.log(10) * (phi - THRESHOLD_PHI));
    }
}
