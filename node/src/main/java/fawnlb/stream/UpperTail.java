package fawnlb.stream;

/**
 * The upper end of a positive quantity that changes slowly, from a stream of its values: what is exceeded with a given
 * small probability, also one far too small to have been met.
 *
 * <p>Method: peaks over a threshold. The threshold follows the 90% quantile by stochastic approximation (Robbins and
 * Monro, 1951) on the logarithm of the values; what lies above it has the shape that {@link Excess} tells of all
 * sources together. Heavy tails make what is allowed longer instead of being taken for a failure. Values and thresholds
 * have the same unit.
 */
final class UpperTail {
    private static final double BEYOND = 0.1;
    private static final double PHI_OF_THRESHOLD = -Math.log10(BEYOND);
    /** Steps of the threshold: long ones at first, then such as forget within some hundred values. */
    private static final double MIN_STEP = 0.04;
    /** The threshold's first steps say nothing of the tail. */
    private static final int SETTLED = 20;

    private final Excess excess;
    private double threshold;
    private long seen;

    UpperTail(Excess excess) {
        this.excess = excess;
    }

    void add(double value) {
        add(Math.log(Math.max(value, 1e-9)), 0);
    }

    /** The value is not known, only that it was more than this: a wait that was cut off. */
    void atLeast(double value) {
        // By the tail's own law what lies beyond is on average one mean excess further.
        add(Math.log(Math.max(value, 1e-9)), excess.mean());
    }

    private void add(double log, double further) {
        seen++;
        if (seen == 1) {
            threshold = log;
            return;
        }
        if (log > threshold && seen > SETTLED) {
            excess.add(log + further - threshold);
        }
        threshold += Math.max(MIN_STEP, 1.0 / seen) * (log > threshold ? 1 - BEYOND : -BEYOND);
    }

    long seen() {
        return seen;
    }

    /** What is exceeded with probability {@code 10^-phi}; phi at least 1. */
    double exceededBy(double phi) {
        return Math.exp(Math.min(100, threshold)) * excess.times(Math.log(10) * (phi - PHI_OF_THRESHOLD));
    }
}
