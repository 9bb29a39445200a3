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
 * Draws the arrivals of a run before it starts. Sessions of several turns begin as a Poisson process. The prompt of
 * each turn contains all earlier turns of its session. A turn's time does not depend on the answers, so the load is
 * open.
 *
 * <p>The order of the random draws is fixed: the same generator state gives the same arrivals.
 */
public final class ArrivalPlan {
    /** Mean length of a drawn prompt. */
    public static final double MEAN_PROMPT_TOKENS = 1900;
    /** Mean length of a drawn answer. */
    public static final double MEAN_OUTPUT_TOKENS = 185;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MEAN_TURNS_PER_SESSION = 2.6;
    /** Sessions begin up to this time before the start, so that some are in their later turns by then. */
    private static final double LEAD_SECONDS = 30;
    /** Prompt prefixes that sessions share, such as system prompts; a Zipf distribution says how often each is used. */
    private static final int PREFIX_COUNT = 24;

    private static final double PREFIX_EXPONENT = 0.9;
    private static final int MIN_PREFIX_TOKENS = 500;
    private static final int PREFIX_TOKENS_RANGE = 1900;

    private static final double MEDIAN_MESSAGE_TOKENS = 150;
    private static final double MESSAGE_TOKENS_SHAPE = 0.6;
    private static final int MIN_QUESTION_TOKENS = 20;
    private static final int MIN_OUTPUT_TOKENS = 8;
    /** The longest answer that clients request. */
    private static final int MAX_OUTPUT_TOKENS = 800;

    /** Deadline of the request class; clients wait for 30 to 55 percent of it. */
    private static final int CLASS_DEADLINE_MILLIS = 7500;

    private static final int MIN_RETRY_DELAY_MILLIS = 100;
    private static final int RETRY_DELAY_RANGE_MILLIS = 400;
    /** A user reads the answer at this pace and then thinks for 2 to 12 seconds. */
    private static final double READING_SECONDS_PER_TOKEN = 0.04;

    private static final double MIN_THINKING_SECONDS = 2;
    private static final double THINKING_RANGE_SECONDS = 10;

    private final RandomGenerator random;
    private final double seconds;
    private final ExponentialDistribution sessionInterval;
    private final GeometricDistribution furtherTurns;
    private final LogNormalDistribution questionTokens;
    private final LogNormalDistribution answerTokens;
    private final ZipfDistribution prefixRank;
    private final int[] prefixTokensByRank = new int[PREFIX_COUNT + 1];
    private final List<Turn> turns = new ArrayList<>();

    /**
     * One request of a session. All lengths are in tokens.
     *
     * @param startNanos time from the start of the run
     * @param prefix key of the prompt prefix that other sessions share; 0 for none
     * @param timeoutMillis how long an attempt waits for the first token
     * @param retryDelayMillis time between attempts if the response has no Retry-After
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

    private ArrivalPlan(RandomGenerator random, double turnsPerSecond, double seconds) {
        this.random = random;
        this.seconds = seconds;
        sessionInterval = new ExponentialDistribution(random, MEAN_TURNS_PER_SESSION / turnsPerSecond);
        furtherTurns = new GeometricDistribution(random, 1 / MEAN_TURNS_PER_SESSION);
        questionTokens = new LogNormalDistribution(random, Math.log(MEDIAN_MESSAGE_TOKENS), MESSAGE_TOKENS_SHAPE);
        answerTokens = new LogNormalDistribution(random, Math.log(MEDIAN_MESSAGE_TOKENS), MESSAGE_TOKENS_SHAPE);
        prefixRank = new ZipfDistribution(random, PREFIX_COUNT, PREFIX_EXPONENT);
    }

    /** Returns the turns of a run of this duration, in the order of their times. */
    public static List<Turn> draw(RandomGenerator random, double turnsPerSecond, double seconds) {
        return new ArrivalPlan(random, turnsPerSecond, seconds).drawTurns();
    }

    private List<Turn> drawTurns() {
        for (int rank = 1; rank <= PREFIX_COUNT; rank++) {
            prefixTokensByRank[rank] = MIN_PREFIX_TOKENS + random.nextInt(PREFIX_TOKENS_RANGE);
        }
        double sessionStart = -LEAD_SECONDS + sessionInterval.sample();
        while (sessionStart < seconds) {
            drawSession(sessionStart);
            sessionStart += sessionInterval.sample();
        }
        turns.sort(Comparator.comparingLong(Turn::startNanos));
        return turns;
    }

    private void drawSession(double sessionStart) {
        int prefix = prefixRank.sample();
        long session = random.nextLong() >>> 1;
        int promptTokens = prefixTokensByRank[prefix];
        double turnStart = sessionStart;
        for (int turnsLeft = furtherTurns.sample() + 1; turnsLeft > 0 && turnStart < seconds; turnsLeft--) {
            promptTokens += (int) Math.max(MIN_QUESTION_TOKENS, questionTokens.sample());
            int outputTokens = (int) Math.max(MIN_OUTPUT_TOKENS, Math.min(MAX_OUTPUT_TOKENS, answerTokens.sample()));
            if (turnStart >= 0) {
                turns.add(new Turn(
                        (long) (turnStart * NANOS_PER_SECOND),
                        session,
                        prefix,
                        promptTokens,
                        prefixTokensByRank[prefix],
                        outputTokens,
                        drawTimeoutMillis(),
                        drawRetryDelayMillis()));
            }
            promptTokens += outputTokens;
            turnStart += MIN_THINKING_SECONDS
                    + random.nextDouble() * THINKING_RANGE_SECONDS
                    + outputTokens * READING_SECONDS_PER_TOKEN;
        }
    }

    private int drawTimeoutMillis() {
        return (int) (CLASS_DEADLINE_MILLIS * (0.3 + 0.25 * random.nextDouble()));
    }

    /** Draws the retry delay; a third of the clients retries at once. */
    private int drawRetryDelayMillis() {
        return random.nextInt(3) == 0 ? 0 : MIN_RETRY_DELAY_MILLIS + random.nextInt(RETRY_DELAY_RANGE_MILLIS);
    }
}
