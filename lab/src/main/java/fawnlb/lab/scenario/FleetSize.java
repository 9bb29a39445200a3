package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.node.NodeProcess;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.StatUtils;

/**
 * One node before few servers and before many, in turn, with the same traffic: a whole list, then one change of two
 * members each 0.2 s. What the node needs may grow only so far. A few sockets stand for all servers, each under many
 * names.
 */
public final class FleetSize implements Scenario {
    private static final int SMALL_FLEET = 200;
    private static final int LARGE_FLEET = 3200;
    private static final int LISTENING_SERVERS = 40;
    private static final long CHANGE_INTERVAL_NANOS = 200_000_000;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final EngineProfile PROFILE =
            new EngineProfile("full-rate", 200, 200, 10_000_000, 8192, 2, 0.01, 1e6, 1, 0, 0);
    /** The operators' page: so many times as much, and so much more, and so much more for each thousand servers. */
    private static final GrowthLimit CPU_LIMIT = new GrowthLimit(1.4, 0.02, 0.12);

    private static final GrowthLimit MEMORY_LIMIT = new GrowthLimit(1.5, 8, 4);
    private static final GrowthLimit DESCRIPTOR_LIMIT = new GrowthLimit(2, 40, 0);
    private static final GrowthLimit CONNECTION_LIMIT = new GrowthLimit(2.5, 40, 0);
    private static final GrowthLimit LIST_KILOBYTES_LIMIT = new GrowthLimit(2, 64, 500);
    private static final double MIN_SERVED_RATIO = 0.85;

    /** How a figure may grow. */
    private record GrowthLimit(double factor, double constant, double perThousandServers) {
        double limitFor(double small) {
            return small * factor + constant + perThousandServers * LARGE_FLEET / 1000;
        }
    }

    /** What one play came to: seconds, megabytes, counts, kilobytes, a part, and milliseconds. */
    private record RunResult(
            double cpuSeconds,
            double memoryMegabytes,
            double descriptors,
            double connections,
            double listKilobytes,
            double servedShare,
            double firstEventP99Millis) {}

    @Override
    public String name() {
        return "fleet-size";
    }

    @Override
    public String purpose() {
        return "what a node needs before " + LARGE_FLEET + " servers, beside " + SMALL_FLEET
                + ", while the list changes all the time";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        List<RunResult> small = new ArrayList<>();
        List<RunResult> large = new ArrayList<>();
        int pairs = quick ? 1 : 3;
        for (int i = 0; i < pairs; i++) {
            small.add(runFleet(SMALL_FLEET, seed + i, quick ? 8 : 22));
            large.add(runFleet(LARGE_FLEET, seed + i, quick ? 8 : 22));
            System.err.printf("%d of %d pairs%n", i + 1, pairs);
        }
        ScenarioReport report = new ScenarioReport();
        checkGrowth(report, "CPU seconds", small, large, RunResult::cpuSeconds, CPU_LIMIT);
        checkGrowth(report, "peak memory, MB", small, large, RunResult::memoryMegabytes, MEMORY_LIMIT);
        checkGrowth(report, "descriptors at the end", small, large, RunResult::descriptors, DESCRIPTOR_LIMIT);
        checkGrowth(report, "connections made to servers", small, large, RunResult::connections, CONNECTION_LIMIT);
        checkGrowth(report, "KB of lists", small, large, RunResult::listKilobytes, LIST_KILOBYTES_LIMIT);
        double smallMedian = median(small, RunResult::servedShare);
        double largeMedian = median(large, RunResult::servedShare);
        report.addCheck(
                "part served in time",
                String.format("%.3f and %.3f", smallMedian, largeMedian),
                String.format("from %.3f", MIN_SERVED_RATIO * smallMedian),
                largeMedian >= MIN_SERVED_RATIO * smallMedian);
        report.addMeasurement(
                "first event, 99th percentile, ms",
                String.format(
                        "%.0f and %.0f",
                        median(small, RunResult::firstEventP99Millis), median(large, RunResult::firstEventP99Millis)));
        return report;
    }

    private static void checkGrowth(
            ScenarioReport report,
            String what,
            List<RunResult> small,
            List<RunResult> large,
            ToDoubleFunction<RunResult> figure,
            GrowthLimit limit) {
        double smallMedian = median(small, figure);
        double largeMedian = median(large, figure);
        report.addCheck(
                what + ", medians of " + small.size(),
                String.format("%.2f and %.2f", smallMedian, largeMedian),
                String.format("up to %.2f", limit.limitFor(smallMedian)),
                largeMedian <= limit.limitFor(smallMedian));
    }

    private static double median(List<RunResult> plays, ToDoubleFunction<RunResult> figure) {
        return StatUtils.percentile(plays.stream().mapToDouble(figure).toArray(), 50);
    }

    private static DiscoveredEndpoint member(int number, List<EngineServer> sockets, EndpointPhase phase) {
        int port = sockets.get(number % sockets.size()).address().getPort();
        return new DiscoveredEndpoint(
                String.format("s-%08x", number), "127.0.0.1", port, "regina-east", PROFILE.name(), 0, phase, 1, 0);
    }

    private static RunResult runFleet(int servers, long seed, int seconds) throws Exception {
        try (Testbed testbed = new Testbed()) {
            for (int i = 0; i < LISTENING_SERVERS; i++) {
                testbed.addBackend(PROFILE, ApiFormat.CHAT);
            }
            testbed.prepareNodes(1, 0);
            List<DiscoveredEndpoint> all = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                all.add(member(i, testbed.backends, EndpointPhase.READY));
            }
            Testbed.runOn(testbed.backendWorker, () -> testbed.discovery.replaceList(1, all));
            RandomGenerator random = new Well19937c(seed);
            testbed.startNodes(Map.of());
            Testbed.runOn(testbed.backendWorker, () -> replaceOneServer(testbed, servers, 0));
            LoadGenerator generator =
                    testbed.runLoad(ArrivalPlan.draw(random, REQUESTS_PER_SECOND, seconds), seconds, seed);
            NodeProcess node = testbed.nodes.get(0);
            int asked = generator.outcomeTotals().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            return new RunResult(
                    node.cpuSeconds(),
                    node.peakResidentBytes() / BYTES_PER_MEGABYTE,
                    node.openDescriptors(),
                    testbed.backends.stream()
                            .mapToInt(EngineServer::connectionCount)
                            .sum(),
                    testbed.discovery.bytesSent() / 1024.0,
                    generator.outcomeTotals().get(LoadGenerator.TurnOutcome.IN_TIME) / (double) asked,
                    generator.firstEventMicros().getValueAtPercentile(99) / 1000.0);
        }
    }

    /** The server that came first leaves, and another one joins; again and again. */
    private static void replaceOneServer(Testbed testbed, int servers, int round) {
        testbed.discovery.applyChanges(
                member(round, testbed.backends, EndpointPhase.GONE),
                member(servers + round, testbed.backends, EndpointPhase.READY));
        testbed.backendTimers.schedule(CHANGE_INTERVAL_NANOS, () -> replaceOneServer(testbed, servers, round + 1));
    }
}
