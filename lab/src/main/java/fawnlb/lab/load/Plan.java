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
public final class Plan {
    private static final double S = 1e9;
    private static final int TOP_PREFIXES = 24;
    private static final int MAX_OUT = 800;

    /**
     * One turn. {@code at}: nanoseconds from the start; lengths in tokens; {@code patience}: milliseconds that a try
     * waits for the first token; {@code retryAfter}: milliseconds between tries where the answer does not say.
     */
    public record Turn(
            long at, long session, long prefix, int prompt, int prefixLength, int out, int patience, int retryAfter) {}

    /** Means of what {@link #draw} draws: tokens that a turn's prompt has, and that its answer has. */
    public static final double MEAN_PROMPT = 1900;

    public static final double MEAN_OUT = 185;

    private Plan() {}

    /** Turns of so many seconds, at so many turns a second on average. */
    public static List<Turn> draw(RandomGenerator random, double perSecond, double seconds) {
        double meanTurns = 2.6;
        ExponentialDistribution gap = new ExponentialDistribution(random, meanTurns / perSecond);
        GeometricDistribution more = new GeometricDistribution(random, 1 / meanTurns);
        LogNormalDistribution asked = new LogNormalDistribution(random, Math.log(150), 0.6);
        LogNormalDistribution answered = new LogNormalDistribution(random, Math.log(150), 0.6);
        ZipfDistribution popular = new ZipfDistribution(random, TOP_PREFIXES, 0.9);
        int[] lengths = new int[TOP_PREFIXES + 1];
        for (int i = 1; i <= TOP_PREFIXES; i++) {
            lengths[i] = 500 + random.nextInt(1900);
        }
        List<Turn> turns = new ArrayList<>();
        // Sessions that began before the start are in their later turns by then.
        double spread = 30;
        for (double begin = -spread + gap.sample(); begin < seconds; begin += gap.sample()) {
            int prefix = popular.sample();
            long session = random.nextLong() >>> 1;
            int prompt = lengths[prefix];
            double at = begin;
            for (int left = more.sample() + 1; left > 0 && at < seconds; left--) {
                prompt += (int) Math.max(20, asked.sample());
                int out = (int) Math.max(8, Math.min(MAX_OUT, answered.sample()));
                if (at >= 0) {
                    turns.add(new Turn(
                            (long) (at * S),
                            session,
                            prefix,
                            prompt,
                            lengths[prefix],
                            out,
                            (int) (7500 * (0.3 + 0.25 * random.nextDouble())),
                            random.nextInt(3) == 0 ? 0 : 100 + random.nextInt(400)));
                }
                prompt += out;
                at += 2 + random.nextDouble() * 10 + out * 0.04;
            }
        }
        turns.sort(Comparator.comparingLong(Turn::at));
        return turns;
    }
}
