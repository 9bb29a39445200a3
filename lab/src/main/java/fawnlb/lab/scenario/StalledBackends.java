package fawnlb.lab.scenario;

import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.load.TurnOutcome;
import fawnlb.lab.net.Fault;
import fawnlb.lab.rules.Rule;
import fawnlb.lab.testbed.FleetSchedule;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * 14 backends at 55% of their capacity, two of which stall in mid-answer with their connections open: how soon the
 * nodes detect that and what share is served, as delivered, with learned bounds and with one fixed timeout.
 * {@link FalseDetections} follows.
 */
public final class StalledBackends implements Scenario {
    static final int BACKEND_COUNT = 14;
    static final int NODE_COUNT = 3;
    static final long NOTIFICATION_DELAY_NANOS = 500_000_000;

    private static final double LOAD_SHARE = 0.55;
    private static final int STALLED_COUNT = 2;
    private static final int STALL_START_SECONDS = 5;
    /** The stall comes behind the head of the response and within the answers' usual length. */
    private static final int MIN_STALL_OFFSET = 300;

    private static final int STALL_OFFSET_RANGE = 3000;
    private static final int MAX_DETECTION_MILLIS = 5000;
    private static final int MAX_RECORDED_MILLIS = 59_999;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Difference of the served shares that may be chance. */
    private static final double SERVED_SHARE_TOLERANCE = 0.005;

    private enum SilenceDetection {
        DEFAULT("as delivered", "{}"),
        LEARNED("learned, pause 3 s", "{\"silence\":{\"pause-ms\":3000}}"),
        LEARNED_SHORT_PAUSE("learned, pause 1 s", "{\"silence\":{\"pause-ms\":1000}}"),
        FIXED("fixed at 4.5 s", "{\"silence\":{\"learned\":false,\"most-ms\":4500}}");

        private final String description;
        private final String streamsFile;

        SilenceDetection(String description, String streamsFile) {
            this.description = description;
            this.streamsFile = streamsFile;
        }
    }

    private record RunResult(
            double servedShare, int brokenAnswers, Histogram detectionMillis, Map<Rule, List<String>> violations) {
        int violationCount() {
            return violations.values().stream().mapToInt(List::size).sum();
        }
    }

    /** Medians over the runs of one way of detection. */
    private record DetectionSummary(double servedShare, double detectionMillis) {
        /** Returns by how many percent of the other's time a stall is detected sooner. */
        double percentSoonerThan(DetectionSummary other) {
            return 100 * (1 - detectionMillis / other.detectionMillis);
        }
    }

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        ScenarioReport report = new ScenarioReport();
        Map<SilenceDetection, DetectionSummary> summaries = new EnumMap<>(SilenceDetection.class);
        for (SilenceDetection detection : SilenceDetection.values()) {
            List<RunResult> runs = measureRuns(detection, seed, length);
            summaries.put(detection, addRuns(report, detection, runs));
        }
        compare(report, summaries);
        FalseDetections.check(report, seed, length);
        return report;
    }

    private static List<RunResult> measureRuns(SilenceDetection detection, long seed, RunLength length)
            throws IOException, InterruptedException {
        int seeds = length.choose(3, 1);
        List<RunResult> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            runs.add(measureStalls(detection, seed + i, length.choose(25, 20)));
            System.err.printf(
                    "%s: %d of %d, detected after %d ms%n",
                    detection.description, i + 1, seeds, sumDetections(runs).getValueAtPercentile(50));
        }
        return runs;
    }

    private static Histogram newHistogram() {
        return new Histogram(MAX_RECORDED_MILLIS + 1, SIGNIFICANT_DIGITS);
    }

    private static Histogram sumDetections(List<RunResult> runs) {
        Histogram sum = newHistogram();
        runs.forEach(run -> sum.add(run.detectionMillis()));
        return sum;
    }

    private static DetectionSummary addRuns(ScenarioReport report, SilenceDetection detection, List<RunResult> runs) {
        String name = detection.description;
        Histogram detections = sumDetections(runs);
        long median = detections.getValueAtPercentile(50);
        long p99 = detections.getValueAtPercentile(99);
        double servedShare = Medians.median(runs, RunResult::servedShare);
        report.addMeasurement(name + ": served in time, median of " + runs.size(), String.format("%.4f", servedShare));
        report.addMeasurement(
                name + ": answers broken, each run",
                runs.stream().map(RunResult::brokenAnswers).toList().toString());
        report.addCheck(
                name + ": time to detection, median and p99",
                String.format("%d ms  %d ms", median, p99),
                "under " + MAX_DETECTION_MILLIS + " ms",
                detections.getTotalCount() > 0 && p99 < MAX_DETECTION_MILLIS);
        report.addZeroCheck(
                name + ": rule violations",
                runs.stream().mapToInt(RunResult::violationCount).sum());
        for (RunResult run : runs) {
            run.violations().forEach((rule, cases) -> System.out.println(name + ": " + rule + " " + cases.get(0)));
        }
        return new DetectionSummary(servedShare, median);
    }

    private static void compare(ScenarioReport report, Map<SilenceDetection, DetectionSummary> summaries) {
        DetectionSummary delivered = summaries.get(SilenceDetection.DEFAULT);
        DetectionSummary learned = summaries.get(SilenceDetection.LEARNED);
        DetectionSummary shortPause = summaries.get(SilenceDetection.LEARNED_SHORT_PAUSE);
        DetectionSummary fixed = summaries.get(SilenceDetection.FIXED);
        report.addCheck(
                "detected sooner than by the fixed timeout, with pauses of 3 s and 1 s",
                String.format("%.0f%%  %.0f%%", learned.percentSoonerThan(fixed), shortPause.percentSoonerThan(fixed)),
                "sooner",
                learned.detectionMillis() < fixed.detectionMillis());
        addServedShareCheck(report, "as delivered", delivered, fixed);
        addServedShareCheck(report, "with a pause of 3 s", learned, fixed);
    }

    private static void addServedShareCheck(
            ScenarioReport report, String name, DetectionSummary summary, DetectionSummary fixed) {
        report.addCheck(
                "served share beside the fixed timeout's, " + name,
                String.format("%+.4f", summary.servedShare() - fixed.servedShare()),
                "no less",
                summary.servedShare() >= fixed.servedShare() - SERVED_SHARE_TOLERANCE);
    }

    private static RunResult measureStalls(SilenceDetection detection, long seed, int seconds)
            throws IOException, InterruptedException {
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(BACKEND_COUNT, random);
            double turnsPerSecond =
                    LOAD_SHARE * Testbed.turnsPerSecond(testbed.backends(), Testbed.UNCACHED_PROMPT_SHARE);
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, turnsPerSecond, seconds);
            testbed.startNodes(NODE_COUNT, NOTIFICATION_DELAY_NANOS, Map.of("streams", detection.streamsFile));
            Histogram detectionMillis = newHistogram();
            Random faultOffsets = new Random(seed);
            testbed.start(new FleetSchedule()
                    .at(
                            STALL_START_SECONDS,
                            "two backends stall in mid-answer",
                            () -> stallBackends(testbed, faultOffsets, detectionMillis)));
            LoadStatistics statistics = testbed.runLoad(turns, seconds, seed);
            // Detections are recorded on the backends' thread: read them there.
            Histogram recorded = newHistogram();
            testbed.runOnBackends(() -> recorded.add(detectionMillis));
            return new RunResult(
                    statistics.total(TurnOutcome.IN_TIME) / (double) statistics.totalTurns(),
                    statistics.total(TurnOutcome.BROKEN),
                    recorded,
                    testbed.rules().violations());
        }
    }

    private static void stallBackends(Testbed testbed, Random offsets, Histogram detectionMillis) {
        for (EngineServer backend : testbed.backends().subList(0, STALLED_COUNT)) {
            backend.injectFaults(
                    id -> new Fault(Fault.Kind.STALL, MIN_STALL_OFFSET + offsets.nextInt(STALL_OFFSET_RANGE), 0));
            backend.setDetectionListener(
                    nanos -> detectionMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, nanos / NANOS_PER_MILLI)));
        }
    }
}
