package fawnlb.lab.engine;

import org.apache.commons.math3.random.RandomGenerator;

/**
 * What a box of some kind can do. Times in milliseconds; {@code speed} multiplies all work; {@code slots}: requests in
 * a batch; {@code queue}: requests that may wait beyond them; {@code memory}: tokens for running requests and kept
 * prompts together; {@code chunk}: prompt tokens read in one step at most; {@code step}, {@code perSequence}: the time
 * of a step, and what each running request adds; {@code readPerSecond}: prompt tokens read in a second;
 * {@code connect}, {@code probe}: the work of a new connection and of a probe.
 */
public record Kind(
        String name,
        int slots,
        int queue,
        int memory,
        int chunk,
        double step,
        double perSequence,
        double readPerSecond,
        double speed,
        double connect,
        double probe) {
    /** A token every so many milliseconds is wanted. */
    private static final double TOKEN_AIM = 50;

    /** Draws a box of a kind from the ranges in which the operators' boxes lie. */
    public static Kind draw(boolean fullRate, RandomGenerator random) {
        return fullRate
                ? new Kind(
                        "full-rate",
                        whole(random, 37, 77),
                        whole(random, 16, 64),
                        whole(random, 91_000, 520_000),
                        2048,
                        real(random, 10, 22),
                        real(random, 0.05, 0.35),
                        real(random, 12_000, 25_000),
                        real(random, 0.85, 1.1),
                        real(random, 2.2, 4),
                        real(random, 2.8, 5.6))
                : new Kind(
                        "slow-rate",
                        whole(random, 25, 96),
                        whole(random, 16, 64),
                        whole(random, 84_000, 510_000),
                        2048,
                        real(random, 9.5, 19),
                        real(random, 0.05, 0.35),
                        real(random, 8_900, 29_000),
                        real(random, 0.64, 0.86),
                        real(random, 2.2, 4),
                        real(random, 2.8, 5.6));
    }

    private static int whole(RandomGenerator random, int from, int to) {
        return from + random.nextInt(to - from + 1);
    }

    private static double real(RandomGenerator random, double from, double to) {
        return from + random.nextDouble() * (to - from);
    }

    /** The work of a request in milliseconds of the box's time, when as many run beside it as keep the token aim. */
    public double work(double unread, double made) {
        double running = Math.max(1, Math.min(slots, (TOKEN_AIM * speed - step) / perSequence));
        return unread / readPerSecond * 1000 / speed + made * (step + perSequence * running) / running / speed;
    }
}
