package fawnlb.stream;

/**
 * Estimates high quantiles of a positive quantity that changes slowly, from its values in order: also quantiles so high
 * that no value has reached them yet.
 *
 * <p>Method: peaks over a threshold. The threshold follows the 90% quantile by stochastic approximation (Robbins and
 * Monro, 1951) on the logarithm of the values. The values above it have the shape of an {@link ExcessDistribution},
 * which several estimators share. With a heavy tail the estimates grow, so that rare long values are not taken for
 * failures. Estimates have the unit of the values.
 */
final class TailQuantileEstimator {
    /** The share of values beyond the threshold: enough of them to learn from, and few enough to be its tail. */
    private static final double EXCEEDANCE_PROBABILITY = 0.1;

    private static final double THRESHOLD_PHI = -Math.log10(EXCEEDANCE_PROBABILITY);
    /** The threshold's steps shrink from 1 to this, at which it forgets older values within some hundred. */
    private static final double MIN_STEP = 0.04;
    /** The threshold has to settle before the excesses over it mean anything. */
    private static final int MIN_SAMPLES_FOR_EXCESS = 20;

    /** Keeps the logarithm finite. */
    private static final double MIN_VALUE = 1e-9;

    /** Keeps the exponential finite. */
    private static final double MAX_LOG_THRESHOLD = 100;

    private final ExcessDistribution excess;
    private double logThreshold;
    private long sampleCount;

    TailQuantileEstimator(ExcessDistribution excess) {
        this.excess = excess;
    }

    /** Adds a value. */
    void add(double value) {
        add(Math.log(Math.max(value, MIN_VALUE)), 0);
    }

    /** Adds a value of which only a lower bound is known, such as a wait that was ended early. */
    void addLowerBound(double value) {
        // In an exponential tail, a value beyond any bound exceeds it by one mean excess on average.
        add(Math.log(Math.max(value, MIN_VALUE)), excess.mean());
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

    /** Returns the number of values so far. */
    long sampleCount() {
        return sampleCount;
    }

    /** Returns the value that is exceeded with probability {@code 10^-phi}; phi is at least 1. */
    double quantile(double phi) {
        return Math.exp(Math.min(MAX_LOG_THRESHOLD, logThreshold))
                * excess.thresholdMultiple(Math.log(10) * (phi - THRESHOLD_PHI));
    }
}
