package fawnlb.lab.engine;

import org.apache.commons.math3.random.RandomGenerator;

/**
 * What a box of some kind can do. Times in milliseconds; {@code speedFactor} multiplies all work; {@code maxRunning}:
 * requests in a batch; {@code queueCapacity}: requests that may wait beyond them; {@code memoryTokens}: tokens for
 * running requests and kept prompts together; {@code prefillChunkTokens}: prompt tokens read in one step at most;
 * {@code stepMillis}, {@code perSequenceMillis}: the time of a step, and what each running request adds;
 * {@code prefillTokensPerSecond}: prompt tokens read in a second; {@code connectMillis}, {@code loadReportMillis}: the
 * work of a new connection and of a probe.
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
    /** A token every so many milliseconds is wanted. */
    private static final double TOKEN_OBJECTIVE_MILLIS = 50;

    /** Draws a box of a kind from the ranges in which the operators' boxes lie. */
    public static EngineProfile draw(boolean fullRate, RandomGenerator random) {
        return fullRate
                ? new EngineProfile(
                        "full-rate",
                        uniformInt(random, 37, 77),
                        uniformInt(random, 16, 64),
                        uniformInt(random, 91_000, 520_000),
                        2048,
                        uniformDouble(random, 10, 22),
                        uniformDouble(random, 0.05, 0.35),
                        uniformDouble(random, 12_000, 25_000),
                        uniformDouble(random, 0.85, 1.1),
                        uniformDouble(random, 2.2, 4),
                        uniformDouble(random, 2.8, 5.6))
                : new EngineProfile(
                        "slow-rate",
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

    /** The work of a request in milliseconds of the box's time, when as many run beside it as keep the token aim. */
    public double workMillis(double promptTokens, double outputTokens) {
        double concurrency = Math.max(
                1, Math.min(maxRunning, (TOKEN_OBJECTIVE_MILLIS * speedFactor - stepMillis) / perSequenceMillis));
        return promptTokens / prefillTokensPerSecond * 1000 / speedFactor
                + outputTokens * (stepMillis + perSequenceMillis * concurrency) / concurrency / speedFactor;
    }
}
