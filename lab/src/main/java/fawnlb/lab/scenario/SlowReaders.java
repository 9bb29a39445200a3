package fawnlb.lab.scenario;

import fawnlb.admin.AdminClient;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.load.SlowReaderClients;
import fawnlb.lab.net.Ports;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * 400 clients that read a byte a second and 100 that have stopped, beside normal traffic through one node: what the
 * node buffers, and whether other clients are affected. Measured in pairs, with them and without, on the same arrivals.
 */
public final class SlowReaders implements Scenario {
    private static final int SLOW_COUNT = 400;
    private static final int STOPPED_COUNT = 100;
    private static final int FIRST_REQUEST_ID = 0x5100000;
    private static final int BACKEND_COUNT = 14;
    private static final double LOAD_SHARE = 0.35;
    private static final int OUTPUT_TOKENS = 100;
    private static final int PADDING_BYTES = 16_000;
    private static final long MAX_BUFFERED_BYTES = 16 << 20;
    private static final long SMALL_BUFFER_BYTES = 1 << 20;
    private static final int DURATION_SECONDS = 30;
    private static final int SMALL_BUFFER_DURATION_SECONDS = 15;
    /** Until then the backends are busy with the answers for slow readers; what is compared comes after that. */
    private static final int SLOW_READERS_WARMUP_SECONDS = 15;

    private static final int WARMUP_SECONDS = 1;
    private static final int POLLS_PER_SECOND = 2;
    private static final int MAX_COMPLETION_POLLS = 40;
    private static final double MAX_RATIO = 1.05;

    /** Texts of the node's admin interface. */
    private static final Pattern BUFFERED_BYTES = Pattern.compile("(\\d+) byte\\(s\\) held");

    private static final Pattern STOPPED_ENDS = Pattern.compile("reader-stopped (\\d+)");
    private static final Pattern CROWDED_ENDS = Pattern.compile("crowded-out (\\d+)");

    /** One run; buffered bytes are the most that were seen at any time. */
    private record RunResult(
            double firstEventP99Millis,
            double gapP99Millis,
            long bufferedBytes,
            long residentBytes,
            long stoppedEnds,
            long crowdedEnds,
            String backendTable) {}

    private enum Readers {
        NONE,
        SLOW_AND_STOPPED
    }

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        PairedRuns<RunResult> pairs = PairedRuns.measure(
                length.choose(3, 1),
                pair -> measureLoad(seed + pair, DURATION_SECONDS, Readers.NONE, MAX_BUFFERED_BYTES),
                pair -> measureLoad(seed + pair, DURATION_SECONDS, Readers.SLOW_AND_STOPPED, MAX_BUFFERED_BYTES));
        RunResult smallBuffer =
                measureLoad(seed, SMALL_BUFFER_DURATION_SECONDS, Readers.SLOW_AND_STOPPED, SMALL_BUFFER_BYTES);
        System.out.println(pairs.second().get(0).backendTable());
        ScenarioReport report = new ScenarioReport();
        addLatencies(report, pairs);
        addBuffers(report, pairs);
        addSmallBuffer(report, smallBuffer);
        return report;
    }

    private static void addLatencies(ScenarioReport report, PairedRuns<RunResult> pairs) {
        report.addMeasurement(
                "first event, p99, with slow readers and without",
                String.format(
                        "%.0f ms  %.0f ms",
                        Medians.median(pairs.second(), RunResult::firstEventP99Millis),
                        Medians.median(pairs.first(), RunResult::firstEventP99Millis)));
        report.addMeasurement(
                "gap between events, p99, with slow readers and without",
                String.format(
                        "%.1f ms  %.1f ms",
                        Medians.median(pairs.second(), RunResult::gapP99Millis),
                        Medians.median(pairs.first(), RunResult::gapP99Millis)));
        double firstEvent = Medians.medianRatio(pairs, RunResult::firstEventP99Millis);
        double gap = Medians.medianRatio(pairs, RunResult::gapP99Millis);
        addRatio(report, "first event's p99, median ratio of pairs", firstEvent);
        addRatio(report, "gap's p99, median ratio of pairs", gap);
    }

    private static void addRatio(ScenarioReport report, String name, double ratio) {
        report.addCheck(name, String.format("%.3f", ratio), "within " + MAX_RATIO, ratio <= MAX_RATIO);
    }

    private static void addBuffers(ScenarioReport report, PairedRuns<RunResult> pairs) {
        List<RunResult> with = pairs.second();
        long bufferedBytes =
                with.stream().mapToLong(RunResult::bufferedBytes).max().orElse(0);
        addBufferedBytes(report, "most bytes buffered for readers", bufferedBytes, MAX_BUFFERED_BYTES);
        report.addMeasurement(
                "node's memory at the end, with slow readers and without",
                String.format(
                        "%d MB  %d MB",
                        with.get(0).residentBytes() >> 20, pairs.first().get(0).residentBytes() >> 20));
        long stoppedEnds = with.stream().mapToLong(RunResult::stoppedEnds).min().orElse(0);
        report.addCheck(
                "clients disconnected after 20 s without a byte read",
                Long.toString(stoppedEnds),
                "100 or more",
                stoppedEnds >= STOPPED_COUNT);
    }

    private static void addBufferedBytes(ScenarioReport report, String name, long bytes, long limit) {
        report.addCheck(name, Long.toString(bytes), "within " + limit, bytes <= limit);
    }

    private static void addSmallBuffer(ScenarioReport report, RunResult result) {
        addBufferedBytes(
                report, "with a limit of 1 MiB: most bytes buffered", result.bufferedBytes(), SMALL_BUFFER_BYTES);
        report.addCheck(
                "with a limit of 1 MiB: streams ended to free memory",
                Long.toString(result.crowdedEnds()),
                "some",
                result.crowdedEnds() > 0);
    }

    private static RunResult measureLoad(long seed, int seconds, Readers readers, long maxBufferedBytes)
            throws IOException, InterruptedException {
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(BACKEND_COUNT, random);
            double turnsPerSecond = LOAD_SHARE * Testbed.turnsPerSecond(testbed.backends(), 1);
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, turnsPerSecond, seconds);
            InetSocketAddress admin = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
            testbed.startNodes(1, 0, Map.of("streams", formatStreamsFile(maxBufferedBytes, admin)));
            NodeProcess node = testbed.nodes().get(0);
            try (SlowReaderClients slowClients = new SlowReaderClients(node.name(), node.address(), testbed.rules())) {
                startSlowReaders(slowClients, readers);
                LoadGenerator generator = testbed.createLoadGenerator(seconds, seed);
                testbed.runOnClients(() -> generator.start(turns));
                return observe(testbed, admin, generator.statistics(), seconds);
            }
        }
    }

    private static String formatStreamsFile(long maxBufferedBytes, InetSocketAddress admin) {
        return "{\"readers\":{\"most-held-bytes\":" + maxBufferedBytes + "},\"admin\":{\"listen\":\"127.0.0.1:"
                + admin.getPort() + "\"}}";
    }

    private static void startSlowReaders(SlowReaderClients clients, Readers readers)
            throws IOException, InterruptedException {
        if (readers == Readers.NONE) {
            TimeUnit.SECONDS.sleep(WARMUP_SECONDS);
            return;
        }
        for (int i = 0; i < SLOW_COUNT + STOPPED_COUNT; i++) {
            SlowReaderClients.ReadPattern pattern = i < SLOW_COUNT
                    ? SlowReaderClients.ReadPattern.ONE_BYTE_PER_SECOND
                    : SlowReaderClients.ReadPattern.STOPPED;
            String requestId = String.format("%016x", FIRST_REQUEST_ID + i);
            clients.sendRequest(pattern, requestId, OUTPUT_TOKENS, PADDING_BYTES);
        }
        clients.start();
        TimeUnit.SECONDS.sleep(SLOW_READERS_WARMUP_SECONDS);
    }

    private static RunResult observe(Testbed testbed, InetSocketAddress admin, LoadStatistics statistics, int seconds)
            throws IOException, InterruptedException {
        long bufferedBytes = 0;
        String table = "";
        int polls = seconds * POLLS_PER_SECOND;
        for (int i = 0; i < polls || statistics.openTurns() > 0 && i < polls + MAX_COMPLETION_POLLS; i++) {
            TimeUnit.MILLISECONDS.sleep(TimeUnit.SECONDS.toMillis(1) / POLLS_PER_SECOND);
            table = AdminClient.fetchTargets(admin);
            bufferedBytes = Math.max(bufferedBytes, sum(BUFFERED_BYTES, table));
        }
        testbed.requireNodesAlive();
        return new RunResult(
                statistics.firstEventMicros().getValueAtPercentile(99) / 1e3,
                statistics.eventGapMicros().getValueAtPercentile(99) / 1e3,
                bufferedBytes,
                testbed.nodes().get(0).residentBytes(),
                sum(STOPPED_ENDS, table),
                sum(CROWDED_ENDS, table),
                table);
    }

    private static long sum(Pattern pattern, String table) {
        Matcher matcher = pattern.matcher(table);
        return matcher.results()
                .mapToLong(found -> Long.parseLong(found.group(1)))
                .sum();
    }
}
