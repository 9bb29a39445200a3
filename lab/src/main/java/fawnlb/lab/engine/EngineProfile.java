package fawnlb.lab.engine;

import org.apache.commons.math3.random.RandomGenerator;

/**
 * What an engine can do.
 *
 * @param name the host type under which the engine is listed
 * @param maxRunning sequences in a batch
 * @param queueCapacity sequences that may wait for a place in the batch
 * @param memoryTokens tokens that running sequences and cached prompts may have together
 * @param prefillChunkTokens prompt tokens processed in one step at most
 * @param stepMillis duration of an empty step
 * @param perSequenceMillis what each decoding sequence adds to a step
 * @param prefillTokensPerSecond prompt tokens processed in a second
 * @param speedFactor divides the duration of all work
 * @param connectMillis work of accepting a connection
 * @param loadReportMillis work of a load report
 */
public record EngineProfile(
        String name,
        int maxRunning,
        int queueCapacity,
        int memoryTokens,
        int prefillChunkTokens,
        double stepMillis,
        double perSequenceMillis,
        double prefillTokensPerSecond,
        double speedFactor,
        double connectMillis,
        double loadReportMillis) {
    /** Name of the faster host type of the emulated fleet. */
    public static final String FULL_RATE = "full-rate";
    /** Name of the slower one. */
    public static final String SLOW_RATE = "slow-rate";

    /** Longest time between two tokens that the operators want. */
    private static final double TOKEN_OBJECTIVE_MILLIS = 50;

    private static final double MILLIS_PER_SECOND = 1000;

    /** Returns a profile that is fast enough not to influence what a scenario measures at the node. */
    public static EngineProfile fast(String name, int maxRunning, int memoryTokens, int prefillChunkTokens) {
        return new EngineProfile(name, maxRunning, maxRunning, memoryTokens, prefillChunkTokens, 2, 0.01, 1e6, 1, 0, 0);
    }

    /** Draws a profile from the ranges that the operators give for full-rate hosts. */
    public static EngineProfile drawFullRate(RandomGenerator random) {
        return new EngineProfile(
                FULL_RATE,
                uniformInt(random, 37, 77),
                uniformInt(random, 16, 64),
                uniformInt(random, 91_000, 520_000),
                2048,
                uniformDouble(random, 10, 22),
                uniformDouble(random, 0.05, 0.35),
                uniformDouble(random, 12_000, 25_000),
                uniformDouble(random, 0.85, 1.1),
                uniformDouble(random, 2.2, 4),
                uniformDouble(random, 2.8, 5.6));
    }

    /** Draws a profile from the ranges that the operators give for slow-rate hosts. */
    public static EngineProfile drawSlowRate(RandomGenerator random) {
        return new EngineProfile(
                SLOW_RATE,
                uniformInt(random, 25, 96),
                uniformInt(random, 16, 64),
                uniformInt(random, 84_000, 510_000),
                2048,
                uniformDouble(random, 9.5, 19),
                uniformDouble(random, 0.05, 0.35),
                uniformDouble(random, 8_900, 29_000),
                uniformDouble(random, 0.64, 0.86),
                uniformDouble(random, 2.2, 4),
                uniformDouble(random, 2.8, 5.6));
    }

    private static int uniformInt(RandomGenerator random, int from, int to) {
        return from + random.nextInt(to - from + 1);
    }

    private static double uniformDouble(RandomGenerator random, double from, double to) {
        return from + random.nextDouble() * (to - from);
    }

    /**
     * Returns the work of a request in milliseconds of engine time, in a batch of as many sequences as keep the token
     * objective.
     */
    public double workMillis(double promptTokens, double outputTokens) {
        double withinObjective = (TOKEN_OBJECTIVE_MILLIS * speedFactor - stepMillis) / perSequenceMillis;
        double concurrency = Math.max(1, Math.min(maxRunning, withinObjective));
        return promptTokens / prefillTokensPerSecond * MILLIS_PER_SECOND / speedFactor
                + outputTokens * (stepMillis + perSequenceMillis * concurrency) / concurrency / speedFactor;
    }
}
