package fawnlb.stream;

/**
 * How far values lie beyond the thresholds of their own sources, as logarithms, pooled over all sources: their scale
 * differs from source to source, the shape of the tail does not, and one source alone shows too little of it. (The
 * index-flood method of hydrology, Dalrymple 1960.)
 *
 * <p>The shape is that of the moment estimator (Dekkers, Einmahl and de Haan, 1989) on the first two moments of the
 * excess, which tells a bounded tail from a light and a heavy one.
 */
final class Excess {
    /** A heavy tail is believed in until so many excesses have been seen as weigh against it. */
    private static final double HEAVY = 0.5;

    private static final double WEIGHT = 20;
    private static final double MEMORY = 1000;
    /** Where the moments come close to those of one single value, the estimate means nothing. */
    private static final double MAX_ALIKE = 0.75;

    private static final double NO_INDEX = 1e-6;

    private double mean = HEAVY;
    private double square = 2 * HEAVY * HEAVY;
    private double seen;

    void add(double excess) {
        seen = Math.min(MEMORY, seen + 1);
        mean += (excess - mean) / seen;
        square += (excess * excess - square) / seen;
    }

    double mean() {
        return mean;
    }

    /** How many times its threshold a value is that is exceeded by one in {@code e^further} of those beyond it. */
    double times(double further) {
        double negative = Math.min(0, 1 - 0.5 / (1 - Math.min(MAX_ALIKE, mean * mean / square)));
        double index = (HEAVY * WEIGHT + (mean + negative) * seen) / (WEIGHT + seen);
        double grown = Math.abs(index) < NO_INDEX ? further : Math.expm1(Math.min(100, index * further)) / index;
        return 1 + mean * (1 - negative) * grown;
    }
}
