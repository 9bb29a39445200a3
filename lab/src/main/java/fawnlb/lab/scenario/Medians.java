package fawnlb.lab.scenario;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.StatUtils;

/** Medians over the runs of a scenario. */
final class Medians {
    private static final int MEDIAN_PERCENTILE = 50;

    private Medians() {}

    /** Returns the median of a figure of the runs. */
    static <T> double median(List<T> runs, ToDoubleFunction<T> figure) {
        return StatUtils.percentile(runs.stream().mapToDouble(figure).toArray(), MEDIAN_PERCENTILE);
    }

    /** Returns the median over all pairs of the second run's figure divided by the first run's. */
    static <T> double medianRatio(PairedRuns<T> pairs, ToDoubleFunction<T> figure) {
        double[] ratios = new double[pairs.first().size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = figure.applyAsDouble(pairs.second().get(i))
                    / figure.applyAsDouble(pairs.first().get(i));
        }
        return StatUtils.percentile(ratios, MEDIAN_PERCENTILE);
    }
}
