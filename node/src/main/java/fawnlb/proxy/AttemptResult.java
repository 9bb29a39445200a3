package fawnlb.proxy;

import fawnlb.decision.AttemptOutcome;
import java.util.List;

/**
 * What is reported to the load balancer at an attempt's end.
 *
 * @param cachedTokens prompt tokens that the backend had in its cache
 * @param loadReport the backend's load report in the order of the settings, or empty
 */
record AttemptResult(AttemptOutcome outcome, long cachedTokens, List<Double> loadReport) {
    /** A result without figures of the backend. */
    static AttemptResult of(AttemptOutcome outcome) {
        return new AttemptResult(outcome, 0, List.of());
    }

    AttemptResult withOutcome(AttemptOutcome other) {
        return new AttemptResult(other, cachedTokens, loadReport);
    }
}
