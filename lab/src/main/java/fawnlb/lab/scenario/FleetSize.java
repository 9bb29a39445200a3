package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.load.TurnOutcome;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.testbed.EmulatedEndpoints;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * One node with few servers and with many, in turn, with the same traffic: a complete list, then a change of two
 * endpoints each 0.2 s. What the node needs may grow only so far. A few listening servers stand for all servers, each
 * under many endpoint ids.
 */
public final class FleetSize implements Scenario {
    /** Number of servers of the small fleet. */
    public static final int SMALL_FLEET = 200;
    /** Number of servers of the large fleet. */
    public static final int LARGE_FLEET = 3200;

    private static final int LISTENING_SERVERS = 40;
    private static final long CHANGE_INTERVAL_NANOS = 200_000_000;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final double BYTES_PER_KILOBYTE = 1 << 10;
    private static final double MICROS_PER_MILLI = 1000;
    private static final EngineProfile PROFILE = EngineProfile.fast(EngineProfile.FULL_RATE, 200, 10_000_000, 8192);

    /** The limits that the operators' page states. */
    private static final GrowthLimit CPU_LIMIT = new GrowthLimit(1.4, 0.02, 0.12);

    private static final GrowthLimit MEMORY_LIMIT = new GrowthLimit(1.5, 8, 4);
    private static final GrowthLimit DESCRIPTOR_LIMIT = new GrowthLimit(2, 40, 0);
    private static final GrowthLimit CONNECTION_LIMIT = new GrowthLimit(2.5, 40, 0);
    private static final GrowthLimit LIST_KILOBYTES_LIMIT = new GrowthLimit(2, 64, 500);
    private static final double MIN_SERVED_RATIO = 0.85;

    /**
     * The large fleet's limit: a multiple of the small fleet's figure, a constant, and a part for 1000 servers each.
     */
    private record GrowthLimit(double factor, double constant, double perThousandServers) {
        double limitFor(double small) {
            return small * factor + constant + perThousandServers * LARGE_FLEET / 1000;
        }
    }

    private record RunResult(
            double cpuSeconds,
            double memoryMegabytes,
            double descriptors,
            double connections,
            double listKilobytes,
            double servedShare,
            double firstEventP99Millis) {}

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        int seconds = length.choose(22, 8);
        PairedRuns<RunResult> pairs = PairedRuns.measure(
                length.choose(3, 1),
                pair -> runFleet(SMALL_FLEET, seed + pair, seconds),
                pair -> runFleet(LARGE_FLEET, seed + pair, seconds));
        ScenarioReport report = new ScenarioReport();
        checkGrowth(report, "CPU seconds", pairs, RunResult::cpuSeconds, CPU_LIMIT);
        checkGrowth(report, "peak memory, MB", pairs, RunResult::memoryMegabytes, MEMORY_LIMIT);
        checkGrowth(report, "descriptors at the end", pairs, RunResult::descriptors, DESCRIPTOR_LIMIT);
        checkGrowth(report, "connections made to servers", pairs, RunResult::connections, CONNECTION_LIMIT);
        checkGrowth(report, "KB of lists", pairs, RunResult::listKilobytes, LIST_KILOBYTES_LIMIT);
        checkServedShare(report, pairs);
        report.addMeasurement(
                "first event, 99th percentile, ms",
                String.format(
                        "%.0f and %.0f",
                        Medians.median(pairs.first(), RunResult::firstEventP99Millis),
                        Medians.median(pairs.second(), RunResult::firstEventP99Millis)));
        return report;
    }

    private static void checkGrowth(
            ScenarioReport report,
            String name,
            PairedRuns<RunResult> pairs,
            ToDoubleFunction<RunResult> figure,
            GrowthLimit growthLimit) {
        double small = Medians.median(pairs.first(), figure);
        double large = Medians.median(pairs.second(), figure);
        double limit = growthLimit.limitFor(small);
        report.addCheck(
                name + ", medians of " + pairs.first().size(),
                String.format("%.2f and %.2f", small, large),
                String.format("up to %.2f", limit),
                large <= limit);
    }

    private static void checkServedShare(ScenarioReport report, PairedRuns<RunResult> pairs) {
        double small = Medians.median(pairs.first(), RunResult::servedShare);
        double large = Medians.median(pairs.second(), RunResult::servedShare);
        double limit = MIN_SERVED_RATIO * small;
        report.addCheck(
                "part served in time",
                String.format("%.3f and %.3f", small, large),
                String.format("from %.3f", limit),
                large >= limit);
    }

    private static RunResult runFleet(int servers, long seed, int seconds) throws IOException, InterruptedException {
        try (Testbed testbed = new Testbed()) {
            testbed.addBackends(LISTENING_SERVERS, PROFILE, ApiFormat.CHAT);
            testbed.prepareNodes(1, 0);
            List<DiscoveredEndpoint> endpoints = new ArrayList<>();
            for (int number = 0; number < servers; number++) {
                endpoints.add(endpoint(testbed, number, EndpointPhase.READY));
            }
            testbed.runOnBackends(() -> testbed.discovery().replaceList(1, endpoints));
            RandomGenerator random = new Well19937c(seed);
            testbed.startNodes(Map.of());
            testbed.runOnBackends(() -> replaceOneServer(testbed, servers, 0));
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, REQUESTS_PER_SECOND, seconds);
            LoadStatistics statistics = testbed.runLoad(turns, seconds, seed);
            return measure(testbed, statistics);
        }
    }

    private static RunResult measure(Testbed testbed, LoadStatistics statistics) throws IOException {
        NodeProcess node = testbed.nodes().get(0);
        return new RunResult(
                node.cpuSeconds(),
                node.peakResidentBytes() / BYTES_PER_MEGABYTE,
                node.openDescriptors(),
                testbed.backends().stream()
                        .mapToInt(EngineServer::connectionCount)
                        .sum(),
                testbed.discovery().bytesSent() / BYTES_PER_KILOBYTE,
                statistics.total(TurnOutcome.IN_TIME) / (double) statistics.totalTurns(),
                statistics.firstEventMicros().getValueAtPercentile(99) / MICROS_PER_MILLI);
    }

    private static DiscoveredEndpoint endpoint(Testbed testbed, int number, EndpointPhase phase) {
        List<EngineServer> servers = testbed.backends();
        int port = servers.get(number % servers.size()).address().getPort();
        String id = String.format("s-%08x", number);
        return EmulatedEndpoints.listed(id, port, EmulatedEndpoints.ZONES.get(0), PROFILE.name(), phase, 0);
    }

    /** Removes the server that was added first and adds another one, again and again. */
    private static void replaceOneServer(Testbed testbed, int servers, int round) {
        testbed.discovery()
                .applyChanges(
                        endpoint(testbed, round, EndpointPhase.GONE),
                        endpoint(testbed, servers + round, EndpointPhase.READY));
        testbed.scheduleOnBackends(CHANGE_INTERVAL_NANOS, () -> replaceOneServer(testbed, servers, round + 1));
    }
}
