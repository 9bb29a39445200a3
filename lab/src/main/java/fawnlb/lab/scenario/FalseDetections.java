package fawnlb.lab.scenario;

import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.load.TurnOutcome;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Streams of healthy backends, some of which are slow, all of which jitter and now and then pause for 4 s: nodes must
 * not take any of them for stalled.
 */
final class FalseDetections {
    private static final int STREAM_COUNT = 50_000;
    private static final int QUICK_STREAM_COUNT = STREAM_COUNT / 10;
    private static final int STREAMS_PER_SECOND = 700;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PAUSE_NANOS = 4 * NANOS_PER_SECOND;
    /** On average one step in 1500 pauses. */
    private static final int PAUSE_INTERVAL_STEPS = 1500;
    /** Median of the log-normal delay of a step. */
    private static final double MEDIAN_DELAY_NANOS = 4e6;
    /** Each fifth backend is slow by this factor. */
    private static final int SLOW_INTERVAL = 5;

    private static final double SLOWDOWN = 2.5;
    /**
     * The node's upper bound of silence, less the precision of its clock. A stream that was silent for longer has to be
     * given up, because its client may not wait for 5 s. It is no false detection.
     */
    private static final long MAX_SILENCE_NANOS = 4_490_000_000L;

    private FalseDetections() {}

    /** Runs the streams and adds the results to the report. */
    static void check(ScenarioReport report, long seed, RunLength length) throws IOException, InterruptedException {
        int streams = length.choose(STREAM_COUNT, QUICK_STREAM_COUNT);
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(StalledBackends.BACKEND_COUNT, random);
            addJitter(testbed, new Random(seed));
            List<ArrivalPlan.Turn> turns = drawTurns(random, streams);
            testbed.startNodes(
                    StalledBackends.NODE_COUNT, StalledBackends.NOTIFICATION_DELAY_NANOS, Map.of("streams", "{}"));
            LoadStatistics statistics = testbed.runLoad(turns, streams / STREAMS_PER_SECOND + 1, seed);
            System.out.println("backends that are slow, jitter and pause: " + statistics.outcomeTotals());
            List<Long> silencesNanos = new ArrayList<>();
            testbed.runOnBackends(() ->
                    testbed.backends().forEach(backend -> silencesNanos.addAll(backend.cancelledSilencesNanos())));
            addResults(report, statistics, silencesNanos);
            testbed.rules().violations().forEach((rule, cases) -> System.out.println(rule + " " + cases.get(0)));
            report.addZeroCheck("rule violations there", testbed.rules().violationCount());
        }
    }

    private static void addJitter(Testbed testbed, Random jitter) {
        for (int i = 0; i < testbed.backends().size(); i++) {
            EngineServer backend = testbed.backends().get(i);
            backend.setStepDelay(() -> jitter.nextInt(PAUSE_INTERVAL_STEPS) == 0
                    ? PAUSE_NANOS
                    : (long) (MEDIAN_DELAY_NANOS * Math.exp(jitter.nextGaussian())));
            if (i % SLOW_INTERVAL == 0) {
                backend.setSlowdown(SLOWDOWN);
            }
        }
    }

    private static List<ArrivalPlan.Turn> drawTurns(RandomGenerator random, int streams) {
        List<ArrivalPlan.Turn> turns = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            turns.add(new ArrivalPlan.Turn(
                    i * NANOS_PER_SECOND / STREAMS_PER_SECOND,
                    random.nextLong() >>> 1,
                    0,
                    50 + random.nextInt(200),
                    0,
                    9 + random.nextInt(12),
                    7000,
                    200));
        }
        return turns;
    }

    private static void addResults(ScenarioReport report, LoadStatistics statistics, List<Long> silencesNanos) {
        int broken = statistics.total(TurnOutcome.BROKEN);
        int begun = statistics.total(TurnOutcome.IN_TIME) + statistics.total(TurnOutcome.LATE) + broken;
        // An attempt that was cancelled as its first event was on its way does not count: no client saw any of it.
        long due = silencesNanos.stream()
                .filter(nanos -> nanos >= MAX_SILENCE_NANOS)
                .count();
        report.addZeroCheck(
                "false detections, of " + begun + " streams of backends that pause 4 s", Math.max(0, broken - due));
        List<String> silences = silencesNanos.stream()
                .map(nanos -> nanos / NANOS_PER_MILLI + " ms")
                .toList();
        report.addMeasurement(
                "broken for a client; silences of all that were cancelled", String.format("%d  %s", broken, silences));
    }
}
