package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.rules.Rule;
import fawnlb.lab.testbed.EmulatedEndpoints;
import fawnlb.lab.testbed.FleetSchedule;
import fawnlb.lab.testbed.Tasks;
import fawnlb.lab.testbed.Testbed;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Three nodes start while discovery is down. The endpoint list that they restore has 14 backends: of these two refuse
 * connections, one is unreachable, two drain, one has been replaced at its address, two have just started, and six are
 * as they were. Five new backends are known to discovery alone, which comes back having lost its state.
 */
public final class StartWithoutDiscovery implements Scenario {
    private static final int NODE_COUNT = 3;
    private static final int LISTED_BACKENDS = 14;
    private static final int NEW_BACKENDS = 5;
    private static final int ALL_BACKENDS = LISTED_BACKENDS + NEW_BACKENDS;
    /** Of the listed backends, the first ones refuse, are unreachable or drain; the others serve. */
    private static final int FIRST_DRAINING = 3;

    private static final int FIRST_SERVING = 5;
    private static final double LOAD_SHARE = 0.55;
    private static final long NOTIFICATION_DELAY_NANOS = 500_000_000;
    /** Revision of the restored list, and of discovery after it has lost its state. */
    private static final long LISTED_REVISION = 99;

    private static final long LOST_STATE_REVISION = 7;
    private static final int SECONDS_AFTER_OUTAGE = 5;
    /** Time that nodes with discovery need until they know all backends. */
    private static final int DISCOVERY_SECONDS = 4;

    private static final int PARALLEL_RUNS = 3;
    private static final long MINUTE_SECONDS = 60;
    private static final long HOUR_SECONDS = 3600;
    private static final long DAY_SECONDS = 86_400;
    private static final int MILLIS_PER_SECOND = 1000;

    @Override
    public ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException {
        int outageSeconds = length.choose(20, 12);
        List<StartCase> cases = listCases(length);
        List<Callable<StartResult>> runs = new ArrayList<>();
        for (StartCase startCase : cases) {
            runs.add(() -> runCase(startCase, seed, outageSeconds));
        }
        List<StartResult> results = Tasks.runInParallel(
                PARALLEL_RUNS, runs, done -> System.err.printf("%d of %d cases%n", done, cases.size()));
        return createReport(results, outageSeconds);
    }

    private static List<StartCase> listCases(RunLength length) {
        List<StartCase> cases = new ArrayList<>();
        cases.add(StartCase.discoveryAvailable());
        if (length == RunLength.FULL) {
            cases.add(StartCase.restoredList(MINUTE_SECONDS));
            cases.add(StartCase.restoredList(HOUR_SECONDS));
        }
        cases.add(StartCase.restoredList(DAY_SECONDS));
        cases.add(StartCase.noList());
        cases.add(StartCase.trustedList(MINUTE_SECONDS));
        return cases;
    }

    private static ScenarioReport createReport(List<StartResult> results, int outageSeconds) {
        ScenarioReport report = new ScenarioReport();
        double normalLevel = results.get(0).servedShare(outageSeconds);
        report.addMeasurement("served share with discovery up", String.format("%.3f", normalLevel));
        for (StartResult result : results) {
            result.print();
            result.addTo(report, normalLevel, outageSeconds);
        }
        return report;
    }

    private static StartResult runCase(StartCase startCase, long seed, int outageSeconds)
            throws IOException, InterruptedException {
        int seconds = outageSeconds + SECONDS_AFTER_OUTAGE;
        try (Testbed testbed = new Testbed()) {
            RandomGenerator random = new Well19937c(seed);
            testbed.addRandomBackends(ALL_BACKENDS, random);
            List<EngineServer> serving = testbed.backends().subList(FIRST_SERVING, LISTED_BACKENDS);
            double turnsPerSecond = LOAD_SHARE * Testbed.turnsPerSecond(serving, Testbed.UNCACHED_PROMPT_SHARE);
            List<DiscoveredEndpoint> restored = ready(testbed.backends().subList(0, LISTED_BACKENDS));
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, turnsPerSecond, seconds);
            testbed.createNodes(NODE_COUNT);
            if (startCase.isDiscoveryAvailable()) {
                startDiscovery(testbed, serving);
            } else {
                beginOutage(testbed, outageSeconds);
            }
            startNodes(testbed, startCase, restored);
            LoadStatistics statistics = testbed.runLoad(turns, seconds, seed);
            if (System.getProperty("lab.logs") != null) {
                System.out.println(testbed.nodes().get(0).readLog());
            }
            int collapsedBackends = testbed.rules().violationCount(Rule.NO_OVERLOAD_IN_SLOW_START);
            return new StartResult(
                    startCase, statistics, collapsedBackends, testbed.rules().violations());
        }
    }

    /** Starts all nodes, and gives them the time to read the endpoint list where discovery is there. */
    private static void startNodes(Testbed testbed, StartCase startCase, List<DiscoveredEndpoint> restored)
            throws IOException, InterruptedException {
        for (int i = 0; i < NODE_COUNT; i++) {
            Path snapshotFile = testbed.directory().resolve("list-" + i);
            testbed.startNode(i, writeOperatorFiles(startCase, snapshotFile, restored));
        }
        if (startCase.isDiscoveryAvailable()) {
            TimeUnit.SECONDS.sleep(DISCOVERY_SECONDS);
        }
    }

    private static List<DiscoveredEndpoint> ready(List<EngineServer> backends) {
        return EmulatedEndpoints.of(backends, EndpointPhase.READY);
    }

    private static void startDiscovery(Testbed testbed, List<EngineServer> serving)
            throws IOException, InterruptedException {
        testbed.createDiscovery(LISTED_REVISION, NOTIFICATION_DELAY_NANOS);
        testbed.runOnBackends(() -> testbed.discovery().replaceList(LISTED_REVISION, ready(serving)));
    }

    /** Changes the fleet against the restored list and takes discovery down. */
    private static void beginOutage(Testbed testbed, int outageSeconds) throws IOException, InterruptedException {
        testbed.createDiscovery(LOST_STATE_REVISION, NOTIFICATION_DELAY_NANOS);
        testbed.start(scheduleChanges(testbed, outageSeconds));
        testbed.runOnBackends(() -> {
            List<EngineServer> backends = testbed.backends();
            List<DiscoveredEndpoint> current = new ArrayList<>(ready(backends.subList(FIRST_SERVING, ALL_BACKENDS)));
            current.addAll(
                    EmulatedEndpoints.of(backends.subList(FIRST_DRAINING, FIRST_SERVING), EndpointPhase.DRAINING));
            testbed.discovery().replaceList(LOST_STATE_REVISION, current);
            testbed.discovery().stopServing();
        });
    }

    private static FleetSchedule scheduleChanges(Testbed testbed, int outageSeconds) {
        List<EngineServer> backends = testbed.backends();
        return new FleetSchedule()
                .at(0, "two backends refuse connections", () -> {
                    backends.get(0).crash();
                    backends.get(1).crash();
                })
                .at(0, "one becomes unreachable", () -> backends.get(2).becomeUnreachable())
                .at(0, "two drain", () -> {
                    backends.get(FIRST_DRAINING).drain();
                    backends.get(FIRST_DRAINING + 1).drain();
                })
                .at(
                        0,
                        "one is replaced at its address",
                        () -> backends.get(FIRST_SERVING).replace(EmulatedEndpoints.id(ALL_BACKENDS)))
                .at(0, "two restart", () -> {
                    backends.get(FIRST_SERVING + 1).restart();
                    backends.get(FIRST_SERVING + 2).restart();
                })
                .at(
                        outageSeconds,
                        "discovery is back",
                        () -> testbed.discovery().resumeServing());
    }

    /** Writes the snapshot that a node restores, and returns the operators' file that names it. */
    private static Map<String, String> writeOperatorFiles(
            StartCase startCase, Path snapshotFile, List<DiscoveredEndpoint> restored) throws IOException {
        if (!startCase.hasList()) {
            return Map.of();
        }
        long writtenAt = System.currentTimeMillis() - startCase.listAgeSeconds() * MILLIS_PER_SECOND;
        List<Snapshot.Entry> entries = restored.stream()
                .map(endpoint -> new Snapshot.Entry(endpoint, writtenAt, writtenAt))
                .toList();
        new SnapshotStore(snapshotFile).write(new Snapshot(writtenAt, LISTED_REVISION, entries));
        boolean checkEndpoints = startCase.initialState() == StartCase.InitialState.RESTORED_LIST;
        return Map.of(
                "start",
                "{\"snapshot\":{\"file\":\"" + snapshotFile + "\"},\"probation\":{\"on\":" + checkEndpoints + "}}");
    }
}
