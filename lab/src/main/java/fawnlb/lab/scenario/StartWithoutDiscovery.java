package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.discovery.DiscoveryServer;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.rules.RuleChecker;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Three nodes start while the roster is down. The list that they remember names 14 boxes: of these two refuse connects,
 * one is silent, two drain, one has been replaced at its address, two have just started and are cold, and six are as
 * they were. Five new boxes are known to the roster alone, which comes back having lost its state.
 */
public final class StartWithoutDiscovery implements Scenario {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int NODE_COUNT = 3;
    private static final int LISTED_BACKENDS = 14;
    private static final int NEW_BACKENDS = 5;
    private static final double LOAD_SHARE = 0.55;
    /** Of a turn's prompt, the part that is not found kept in the long run. */
    private static final double UNCACHED_PROMPT_SHARE = 0.35;

    private static final int PARALLEL_RUNS = 3;

    /** What the nodes start with. Age: of the list, in seconds, below 0 where there is none. */
    private enum InitialState {
        RESTORED_LIST,
        NO_LIST,
        TRUSTED_LIST,
        DISCOVERY_AVAILABLE
    }

    private record StartCase(String description, InitialState initialState, long listAgeSeconds) {}

    private record StartResult(
            StartCase startCase,
            int[][] outcomesBySecond,
            double firstEventSeconds,
            int collapsedBackends,
            Map<RuleChecker.Rule, List<String>> violations,
            List<String> table,
            Histogram firstEventMicros) {
        /** Served in time of what was asked from one second to before another. */
        double servedShare(int from, int to) {
            int asked = 0;
            int served = 0;
            for (int second = from; second < to; second++) {
                for (int count : outcomesBySecond[second]) {
                    asked += count;
                }
                served += outcomesBySecond[second][LoadGenerator.TurnOutcome.IN_TIME.ordinal()];
            }
            return asked == 0 ? 0 : served / (double) asked;
        }

        /** The first second from which three in a row reach the level, -1 if none does before the end. */
        int firstSecondAtLevel(double level, int end) {
            for (int second = 0; second + 3 <= end; second++) {
                if (servedShare(second, second + 3) >= level) {
                    return second;
                }
            }
            return -1;
        }
    }

    @Override
    public String name() {
        return "start-without-discovery";
    }

    @Override
    public String purpose() {
        return "three nodes start from a remembered list while the roster is down, beside no list and a believed one";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        int outageSeconds = quick ? 12 : 20;
        List<StartCase> cases = new ArrayList<>();
        cases.add(new StartCase("warm, roster up", InitialState.DISCOVERY_AVAILABLE, -1));
        for (long[] age : quick ? new long[][] {{86_400}} : new long[][] {{60}, {3600}, {86_400}}) {
            cases.add(new StartCase("list " + age[0] + " s old", InitialState.RESTORED_LIST, age[0]));
        }
        cases.add(new StartCase("no list", InitialState.NO_LIST, -1));
        cases.add(new StartCase("list believed as if warm", InitialState.TRUSTED_LIST, 60));
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
        List<Future<StartResult>> futures = new ArrayList<>();
        for (StartCase each : cases) {
            futures.add(executor.submit(() -> runCase(each, seed, outageSeconds)));
        }
        executor.shutdown();
        List<StartResult> results = new ArrayList<>();
        for (Future<StartResult> future : futures) {
            results.add(future.get());
            System.err.printf("%d of %d played%n", results.size(), cases.size());
        }
        return createReport(results, outageSeconds);
    }

    private static ScenarioReport createReport(List<StartResult> results, int outageSeconds) {
        ScenarioReport report = new ScenarioReport();
        double warm = results.get(0).servedShare(0, outageSeconds);
        report.addMeasurement("warm service level (served in time of asked)", String.format("%.3f", warm));
        for (StartResult result : results) {
            String description = result.startCase().description();
            System.out.println(description);
            result.table().forEach(System.out::println);
            boolean judged = result.startCase().initialState() == InitialState.RESTORED_LIST;
            int reached = result.firstSecondAtLevel(0.9 * warm, outageSeconds);
            String first =
                    result.firstEventSeconds() < 0 ? "never" : String.format("%.2f s", result.firstEventSeconds());
            String at = reached < 0 ? "not in " + outageSeconds + " s" : reached + " s";
            String rules =
                    result.violations().isEmpty() ? "0" : result.violations().toString();
            int violationCount =
                    result.violations().values().stream().mapToInt(List::size).sum();
            if (judged) {
                report.addCheck(
                        description + ": first event served after process start",
                        first,
                        "within 2 s",
                        result.firstEventSeconds() >= 0 && result.firstEventSeconds() <= 2);
                report.addCheck(
                        description + ": 90% of the warm level from", at, "within 10 s", reached >= 0 && reached <= 10);
                report.addCheck(
                        description + ": boxes fallen over",
                        Integer.toString(result.collapsedBackends()),
                        "0",
                        result.collapsedBackends() == 0);
                report.addCheck(
                        description + ": rules broken", Integer.toString(violationCount), "0", violationCount == 0);
            } else {
                report.addMeasurement(description + ": first event served after process start", first);
                report.addMeasurement(description + ": 90% of the warm level from", at);
                report.addMeasurement(
                        description + ": boxes fallen over", Integer.toString(result.collapsedBackends()));
            }
            report.addMeasurement(
                    description + ": service while the roster is down",
                    String.format("%.3f", result.servedShare(0, outageSeconds)));
            report.addMeasurement(
                    description + ": first event after first try, median and p99",
                    String.format(
                            "%.2f s  %.2f s",
                            result.firstEventMicros().getValueAtPercentile(50) / 1e6,
                            result.firstEventMicros().getValueAtPercentile(99) / 1e6));
            if (violationCount > 0) {
                System.out.println(description + ": " + rules);
            }
        }
        return report;
    }

    private static StartResult runCase(StartCase startCase, long seed, int outageSeconds) throws Exception {
        int seconds = outageSeconds + 5;
        try (Testbed testbed = new Testbed()) {
            List<EngineServer> backends = testbed.backends;
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(LISTED_BACKENDS + NEW_BACKENDS, random);
            List<DiscoveredEndpoint> restored =
                    Testbed.members(backends.subList(0, LISTED_BACKENDS), EndpointPhase.READY);
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(
                    random,
                    LOAD_SHARE * Testbed.turnsPerSecond(backends.subList(5, LISTED_BACKENDS), UNCACHED_PROMPT_SHARE),
                    seconds);
            Collection<String> names = testbed.createNodes(NODE_COUNT);
            boolean discoveryAvailable = startCase.initialState() == InitialState.DISCOVERY_AVAILABLE;
            Testbed.runOn(testbed.backendWorker, () -> {
                testbed.discovery = new DiscoveryServer(
                        names,
                        discoveryAvailable ? 99 : 7,
                        NANOS_PER_SECOND / 2,
                        testbed.backendWorker,
                        testbed.backendTimers,
                        testbed.rules);
                if (discoveryAvailable) {
                    testbed.discovery.replaceList(
                            99, Testbed.members(backends.subList(5, LISTED_BACKENDS), EndpointPhase.READY));
                } else {
                    scheduleChanges(backends, testbed.discovery, outageSeconds).start(testbed.backendTimers);
                    List<DiscoveredEndpoint> now = new ArrayList<>(
                            Testbed.members(backends.subList(5, LISTED_BACKENDS + NEW_BACKENDS), EndpointPhase.READY));
                    now.addAll(Testbed.members(backends.subList(3, 5), EndpointPhase.DRAINING));
                    testbed.discovery.replaceList(7, now);
                    testbed.discovery.stopServing();
                }
            });
            for (int i = 0; i < NODE_COUNT; i++) {
                testbed.start(i, operatorFiles(startCase, testbed.directory.resolve("list-" + i), restored));
            }
            if (discoveryAvailable) {
                TimeUnit.SECONDS.sleep(4);
            }
            LoadGenerator generator = testbed.runLoad(turns, seconds, seed);
            if (System.getProperty("lab.logs") != null) {
                System.out.println(testbed.nodes.get(0).readLog());
            }
            int collapsedBackends = testbed.rules.violationCount(RuleChecker.Rule.NO_OVERLOAD_IN_SLOW_START);
            return new StartResult(
                    startCase,
                    generator.outcomesBySecond(),
                    generator.firstEventNanos() < 0 ? -1 : generator.firstEventNanos() / 1e9,
                    collapsedBackends,
                    testbed.rules.violations(),
                    generator.formatTable(),
                    generator.firstEventMicros());
        }
    }

    /** What has become of the remembered boxes since, and when the roster is back. */
    private static FleetSchedule scheduleChanges(
            List<EngineServer> backends, DiscoveryServer discovery, int outageSeconds) {
        return new FleetSchedule()
                .at(0, "two boxes refuse connects", () -> {
                    backends.get(0).crash();
                    backends.get(1).crash();
                })
                .at(0, "one falls silent", () -> backends.get(2).becomeUnreachable())
                .at(0, "two drain", () -> {
                    backends.get(3).drain();
                    backends.get(4).drain();
                })
                .at(
                        0,
                        "another is at the address of one",
                        () -> backends.get(5).replace(Testbed.backendId(LISTED_BACKENDS + NEW_BACKENDS)))
                .at(0, "two start anew", () -> {
                    backends.get(6).restart();
                    backends.get(7).restart();
                })
                .at(outageSeconds, "the roster is back", discovery::resumeServing);
    }

    /** The start file of one node, with the list that it remembers beside it. */
    private static Map<String, String> operatorFiles(StartCase startCase, Path file, List<DiscoveredEndpoint> restored)
            throws IOException {
        if (startCase.initialState() == InitialState.NO_LIST
                || startCase.initialState() == InitialState.DISCOVERY_AVAILABLE) {
            return Map.of();
        }
        long at = System.currentTimeMillis() - startCase.listAgeSeconds() * 1000;
        new SnapshotStore(file)
                .write(new Snapshot(
                        at,
                        99,
                        restored.stream()
                                .map(member -> new Snapshot.Entry(member, at, at))
                                .toList()));
        return Map.of(
                "start",
                "{\"snapshot\":{\"file\":\"" + file + "\"},\"probation\":{\"on\":"
                        + (startCase.initialState() == InitialState.RESTORED_LIST) + "}}");
    }
}
