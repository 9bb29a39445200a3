package fawnlb.lab.scenario;

import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.net.Fault;
import fawnlb.lab.rules.RuleChecker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.StatUtils;

/**
 * 14 boxes at 55% of their load, two of which stall in mid-answer with their connections open: how soon that is found
 * and what is served, with learned bounds and with one fixed time. Then 50,000 streams of boxes that are slow, jitter
 * and pause for 3 s, of which none may be cut.
 */
public final class StalledBackends implements Scenario {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int BACKEND_COUNT = 14;
    private static final int NODE_COUNT = 3;
    private static final double LOAD_SHARE = 0.55;
    /** Of a turn's prompt, the part that is not found kept in the long run. */
    private static final double UNCACHED_PROMPT_SHARE = 0.35;

    private static final int STALL_START_SECONDS = 5;
    private static final int STREAM_COUNT = 50_000;
    private static final int STREAMS_PER_SECOND = 700;
    private static final long PAUSE_NANOS = 3 * NANOS_PER_SECOND;
    private static final long MAX_SILENCE_NANOS = 4_490_000_000L;

    private enum SilenceDetection {
        LEARNED("learned, as delivered", "{}"),
        LEARNED_SHORT_PAUSE("learned, pause 1 s", "{\"silence\":{\"pause-ms\":1000}}"),
        FIXED("fixed at 4.5 s", "{\"silence\":{\"learned\":false,\"most-ms\":4500}}");

        private final String description;
        private final String streamsFile;

        SilenceDetection(String description, String streamsFile) {
            this.description = description;
            this.streamsFile = streamsFile;
        }
    }

    /** Times to detection in milliseconds. */
    private record RunResult(
            double servedShare,
            int brokenAnswers,
            Histogram detectionMillis,
            Map<RuleChecker.Rule, List<String>> violations) {}

    @Override
    public String name() {
        return "stalled-boxes";
    }

    @Override
    public String purpose() {
        return "two of 14 boxes stall in mid-answer: time to detection and service beside a fixed time, and no false cuts";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        int seconds = quick ? 20 : 25;
        int seeds = quick ? 1 : 3;
        ScenarioReport report = new ScenarioReport();
        double[] services = new double[SilenceDetection.values().length];
        double[] medians = new double[services.length];
        for (SilenceDetection detection : SilenceDetection.values()) {
            List<RunResult> runs = new ArrayList<>();
            Histogram detectionMillis = new Histogram(60_000, 3);
            for (int i = 0; i < seeds; i++) {
                runs.add(measureStalls(detection, seed + i, seconds));
                detectionMillis.add(runs.get(i).detectionMillis());
                System.err.printf(
                        "%s: %d of %d, found after %d ms%n",
                        detection.description, i + 1, seeds, detectionMillis.getValueAtPercentile(50));
            }
            services[detection.ordinal()] = StatUtils.percentile(
                    runs.stream().mapToDouble(RunResult::servedShare).toArray(), 50);
            medians[detection.ordinal()] = detectionMillis.getValueAtPercentile(50);
            report.addMeasurement(
                    detection.description + ": served in time, median of " + seeds,
                    String.format("%.4f", services[detection.ordinal()]));
            report.addMeasurement(
                    detection.description + ": answers broken, each run",
                    runs.stream()
                            .map(run -> Integer.toString(run.brokenAnswers()))
                            .toList()
                            .toString());
            report.addCheck(
                    detection.description + ": time to detection, median and p99",
                    String.format(
                            "%d ms  %d ms",
                            detectionMillis.getValueAtPercentile(50), detectionMillis.getValueAtPercentile(99)),
                    "under 5000 ms",
                    detectionMillis.getTotalCount() > 0 && detectionMillis.getValueAtPercentile(99) < 5000);
            int violationCount = runs.stream()
                    .mapToInt(run -> run.violations().values().stream()
                            .mapToInt(List::size)
                            .sum())
                    .sum();
            report.addCheck(
                    detection.description + ": rules broken",
                    Integer.toString(violationCount),
                    "0",
                    violationCount == 0);
            runs.forEach(run -> run.violations()
                    .forEach(
                            (rule, how) -> System.out.println(detection.description + ": " + rule + " " + how.get(0))));
        }
        double learned = services[SilenceDetection.LEARNED.ordinal()];
        double fixed = services[SilenceDetection.FIXED.ordinal()];
        report.addCheck(
                "found sooner than by the fixed time, as delivered and with a pause of 1 s",
                String.format(
                        "%.0f%%  %.0f%%", 100 * (1 - medians[0] / medians[2]), 100 * (1 - medians[1] / medians[2])),
                "sooner",
                medians[0] < medians[2]);
        report.addCheck(
                "served beside the fixed time",
                String.format("%+.4f", learned - fixed),
                "no less",
                learned >= fixed - 0.005);
        checkNoFalseDetections(report, seed, quick ? STREAM_COUNT / 10 : STREAM_COUNT);
        return report;
    }

    private static RunResult measureStalls(SilenceDetection detection, long seed, int seconds) throws Exception {
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(BACKEND_COUNT, random);
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(
                    random, LOAD_SHARE * Testbed.turnsPerSecond(testbed.backends, UNCACHED_PROMPT_SHARE), seconds);
            testbed.start(NODE_COUNT, NANOS_PER_SECOND / 2, Map.of("streams", detection.streamsFile));
            Histogram detectionMillis = new Histogram(60_000, 3);
            Random faultOffsets = new Random(seed);
            Testbed.runOn(
                    testbed.backendWorker,
                    () -> new FleetSchedule()
                            .at(STALL_START_SECONDS, "two boxes stall in mid-answer", () -> {
                                for (EngineServer backend : testbed.backends.subList(0, 2)) {
                                    backend.injectFaults(
                                            id -> new Fault(Fault.Kind.STALL, 300 + faultOffsets.nextInt(3000), 0));
                                    backend.setDetectionListener(
                                            nanos -> detectionMillis.recordValue(Math.min(59_999, nanos / 1_000_000)));
                                }
                            })
                            .start(testbed.backendTimers));
            LoadGenerator generator = testbed.runLoad(turns, seconds, seed);
            Map<LoadGenerator.TurnOutcome, Integer> outcomes = generator.outcomeTotals();
            int all = outcomes.values().stream().mapToInt(n -> n).sum();
            RunResult[] run = new RunResult[1];
            Testbed.runOn(
                    testbed.backendWorker,
                    () -> run[0] = new RunResult(
                            outcomes.get(LoadGenerator.TurnOutcome.IN_TIME) / (double) all,
                            outcomes.get(LoadGenerator.TurnOutcome.BROKEN),
                            detectionMillis,
                            testbed.rules.violations()));
            return run[0];
        }
    }

    /** No box fails here: some are slow, all jitter, and now and then one says nothing for 3 s. */
    private static void checkNoFalseDetections(ScenarioReport report, long seed, int streams) throws Exception {
        int seconds = streams / STREAMS_PER_SECOND + 1;
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            Random jitter = new Random(seed);
            testbed.addRandomBackends(BACKEND_COUNT, random);
            for (int i = 0; i < BACKEND_COUNT; i++) {
                EngineServer backend = testbed.backends.get(i);
                backend.setStepDelay(
                        () -> jitter.nextInt(1500) == 0 ? PAUSE_NANOS : (long) (4e6 * Math.exp(jitter.nextGaussian())));
                if (i % 5 == 0) {
                    backend.setSlowdown(2.5);
                }
            }
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
            testbed.start(NODE_COUNT, NANOS_PER_SECOND / 2, Map.of("streams", "{}"));
            Map<LoadGenerator.TurnOutcome, Integer> outcomes =
                    testbed.runLoad(turns, seconds, seed).outcomeTotals();
            System.out.println("boxes that are slow, jitter and pause: " + outcomes);
            int begun = outcomes.get(LoadGenerator.TurnOutcome.IN_TIME)
                    + outcomes.get(LoadGenerator.TurnOutcome.LATE)
                    + outcomes.get(LoadGenerator.TurnOutcome.BROKEN);
            List<Long> silencesNanos = new ArrayList<>();
            Testbed.runOn(
                    testbed.backendWorker,
                    () -> testbed.backends.forEach(backend -> silencesNanos.addAll(backend.cancelledSilencesNanos())));
            // Beyond the upper bound a stream must be given up: its client may not wait for 5 s. An attempt that was
            // called
            // off as its first event crossed that is no stream: no client has seen any of it.
            long due = silencesNanos.stream()
                    .filter(nanos -> nanos >= MAX_SILENCE_NANOS)
                    .count();
            long early = Math.max(0, outcomes.get(LoadGenerator.TurnOutcome.BROKEN) - due);
            report.addCheck(
                    "false cuts, of " + begun + " streams of boxes that pause 3 s",
                    Long.toString(early),
                    "0",
                    early == 0);
            report.addMeasurement(
                    "broken for a client; silences of all that were called off",
                    String.format(
                            "%d  %s",
                            outcomes.get(LoadGenerator.TurnOutcome.BROKEN),
                            silencesNanos.stream()
                                    .map(nanos -> nanos / 1_000_000 + " ms")
                                    .toList()));
            int violationCount = testbed.rules.violations().values().stream()
                    .mapToInt(List::size)
                    .sum();
            testbed.rules.violations().forEach((rule, how) -> System.out.println(rule + " " + how.get(0)));
            report.addCheck("rules broken there", Integer.toString(violationCount), "0", violationCount == 0);
        }
    }
}
