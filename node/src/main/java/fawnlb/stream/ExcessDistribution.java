package fawnlb.stream;

/**
 * How far values lie beyond the thresholds of their own sources, as logarithms, pooled over all sources: their scale
 * differs from source to source, the shape of the tail does not, and one source alone shows too little of it. (The
 * index-flood method of hydrology, Dalrymple 1960.)
 *
 * <p>The shape is that of the moment estimator (Dekkers, Einmahl and de Haan, 1989) on the first two moments of the
 * excess, which tells a bounded tail from a light and a heavy one.
 */
final class ExcessDistribution {
    /** A heavy tail is believed in until so many excesses have been seen as weigh against it. */
    private static final double PRIOR_INDEX = 0.5;

    private static final double PRIOR_WEIGHT = 20;
    private static final double MAX_SAMPLE_WEIGHT = 1000;
    /** Where the moments come close to those of one single value, the estimate means nothing. */
    private static final double MAX_MOMENT_RATIO = 0.75;

    private static final double MIN_INDEX = 1e-6;

    private double mean = PRIOR_INDEX;
    private double meanSquare = 2 * PRIOR_INDEX * PRIOR_INDEX;
    private double sampleWeight;

    void add(double excess) {
        sampleWeight = Math.min(MAX_SAMPLE_WEIGHT, sampleWeight + 1);
        mean += (excess - mean) / sampleWeight;
        meanSquare += (excess * excess - meanSquare) / sampleWeight;
    }

    double mean() {
        return mean;
    }

    /**
     * How many times its threshold a value is that is exceeded by one in {@code e^exceedanceLog} of those beyond it.
     */
    double thresholdMultiple(double exceedanceLog) {
        double negativeIndex = Math.min(0, 1 - 0.5 / (1 - Math.min(MAX_MOMENT_RATIO, mean * mean / meanSquare)));
        double index =
                (PRIOR_INDEX * PRIOR_WEIGHT + (mean + negativeIndex) * sampleWeight) / (PRIOR_WEIGHT + sampleWeight);
        double growth =
                Math.abs(index) < MIN_INDEX ? exceedanceLog : Math.expm1(Math.min(100, index * exceedanceLog)) / index;
        return 1 + mean * (1 - negativeIndex) * growth;
    }
}
