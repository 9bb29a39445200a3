package fawnlb.lab.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Results of two variants that were measured in turn, so that a change on the machine affects both.
 *
 * @param first results of the variant that was measured first in each pair
 * @param second results of the other variant, at the same positions
 */
record PairedRuns<T>(List<T> first, List<T> second) {
    /** Measures one variant once. */
    @FunctionalInterface
    interface Run<T> {
        /** Returns the result of the run in the pair with this number, counted from 0. */
        T measure(int pair) throws IOException, InterruptedException;
    }

    /** Measures this number of pairs and reports progress to standard error. */
    static <T> PairedRuns<T> measure(int pairs, Run<T> firstVariant, Run<T> secondVariant)
            throws IOException, InterruptedException {
        List<T> first = new ArrayList<>();
        List<T> second = new ArrayList<>();
        for (int pair = 0; pair < pairs; pair++) {
            first.add(firstVariant.measure(pair));
            second.add(secondVariant.measure(pair));
            System.err.printf("%d of %d pairs%n", pair + 1, pairs);
        }
        return new PairedRuns<>(first, second);
    }
}
