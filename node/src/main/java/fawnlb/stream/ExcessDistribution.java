package fawnlb.stream;

/**
 * The distribution of the excesses of values over the thresholds of their own sources, as logarithms, pooled over all
 * sources. Sources differ in scale but not in the shape of their tail, and one source alone has too few excesses to
 * show it. (The index-flood method of hydrology, Dalrymple 1960.)
 *
 * <p>The shape comes from the moment estimator (Dekkers, Einmahl and de Haan, 1989) on the first two moments of the
 * excess, which distinguishes bounded, light and heavy tails.
 */
final class ExcessDistribution {
    /**
     * The tail index that is assumed at first: a heavy tail, which makes timeouts long rather than short. It weighs as
     * much as the number of excesses below.
     */
    private static final double PRIOR_INDEX = 0.5;

    private static final double PRIOR_WEIGHT = 20;
    /** The moments forget older excesses after about this many. */
    private static final double MAX_SAMPLE_WEIGHT = 1000;
    /** At a ratio of 1 all excesses are equal, and the estimator divides by 0. */
    private static final double MAX_MOMENT_RATIO = 0.75;

    /** Below this, the formula for index 0 is used, to which the general one converges. */
    private static final double MIN_INDEX = 1e-6;

    /** Keeps the exponential finite. */
    private static final double MAX_EXPONENT = 100;

    private double mean = PRIOR_INDEX;
    private double meanSquare = 2 * PRIOR_INDEX * PRIOR_INDEX;
    private double sampleWeight;

    /** Adds the logarithm of a value over its threshold. */
    void add(double excess) {
        sampleWeight = Math.min(MAX_SAMPLE_WEIGHT, sampleWeight + 1);
        mean += (excess - mean) / sampleWeight;
        meanSquare += (excess * excess - meanSquare) / sampleWeight;
    }

    /** Returns the mean excess. */
    double mean() {
        return mean;
    }

    /**
     * Returns the multiple of its threshold that one in {@code e^exceedanceLog} of the values beyond the threshold
     * exceeds.
     */
    double thresholdMultiple(double exceedanceLog) {
        double negativeIndex = Math.min(0, 1 - 0.5 / (1 - Math.min(MAX_MOMENT_RATIO, mean * mean / meanSquare)));
        double index =
                (PRIOR_INDEX * PRIOR_WEIGHT + (mean + negativeIndex) * sampleWeight) / (PRIOR_WEIGHT + sampleWeight);
        double growth = Math.abs(index) < MIN_INDEX
                ? exceedanceLog
                : Math.expm1(Math.min(MAX_EXPONENT, index * exceedanceLog)) / index;
        return 1 + mean * (1 - negativeIndex) * growth;
    }
}
