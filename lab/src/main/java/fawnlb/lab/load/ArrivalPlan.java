package fawnlb.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.GeometricDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The arrivals of a run, drawn ahead: sessions of several turns begin as a Poisson process, each turn's prompt holds
 * all that went before, and no turn waits for an answer.
 */
public final class ArrivalPlan {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PREFIX_COUNT = 24;
    private static final int MAX_OUTPUT_TOKENS = 800;

    /**
     * One turn. {@code at}: nanoseconds from the start; lengths in tokens; {@code timeoutMillis}: milliseconds that a
     * try waits for the first token; {@code retryDelayMillis}: milliseconds between tries where the answer does not
     * say.
     */
    public record Turn(
            long startNanos,
            long session,
            long prefix,
            int promptTokens,
            int prefixTokens,
            int outputTokens,
            int timeoutMillis,
            int retryDelayMillis) {}

    /** Means of what {@link #addRandomBackends} draws: tokens that a turn's prompt has, and that its answer has. */
    public static final double MEAN_UNCACHED_PROMPT_TOKENS = 1900;

    public static final double MEAN_OUTPUT_TOKENS = 185;

    private ArrivalPlan() {}

    /** Turns of so many seconds, at so many turns a second on average. */
    public static List<Turn> draw(RandomGenerator random, double turnsPerSecond, double seconds) {
        double meanTurns = 2.6;
        ExponentialDistribution sessionInterval = new ExponentialDistribution(random, meanTurns / turnsPerSecond);
        GeometricDistribution furtherTurns = new GeometricDistribution(random, 1 / meanTurns);
        LogNormalDistribution questionTokens = new LogNormalDistribution(random, Math.log(150), 0.6);
        LogNormalDistribution answerTokens = new LogNormalDistribution(random, Math.log(150), 0.6);
        ZipfDistribution prefixRank = new ZipfDistribution(random, PREFIX_COUNT, 0.9);
        int[] prefixTokens = new int[PREFIX_COUNT + 1];
        for (int i = 1; i <= PREFIX_COUNT; i++) {
            prefixTokens[i] = 500 + random.nextInt(1900);
        }
        List<Turn> turns = new ArrayList<>();
        // Sessions that began before the start are in their later turns by then.
        double leadSeconds = 30;
        for (double sessionStart = -leadSeconds + sessionInterval.sample();
                sessionStart < seconds;
                sessionStart += sessionInterval.sample()) {
            int prefix = prefixRank.sample();
            long session = random.nextLong() >>> 1;
            int promptTokens = prefixTokens[prefix];
            double turnStart = sessionStart;
            for (int turnsLeft = furtherTurns.sample() + 1; turnsLeft > 0 && turnStart < seconds; turnsLeft--) {
                promptTokens += (int) Math.max(20, questionTokens.sample());
                int outputTokens = (int) Math.max(8, Math.min(MAX_OUTPUT_TOKENS, answerTokens.sample()));
                if (turnStart >= 0) {
                    turns.add(new Turn(
                            (long) (turnStart * NANOS_PER_SECOND),
                            session,
                            prefix,
                            promptTokens,
                            prefixTokens[prefix],
                            outputTokens,
                            (int) (7500 * (0.3 + 0.25 * random.nextDouble())),
                            random.nextInt(3) == 0 ? 0 : 100 + random.nextInt(400)));
                }
                promptTokens += outputTokens;
                turnStart += 2 + random.nextDouble() * 10 + outputTokens * 0.04;
            }
        }
        turns.sort(Comparator.comparingLong(Turn::startNanos));
        return turns;
    }
}
