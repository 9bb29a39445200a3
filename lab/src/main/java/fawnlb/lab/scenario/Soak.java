package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.net.Fault;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker.Rule;
import fawnlb.lab.shim.FaultShim;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Nodes in processes of their own under troubles that overlap: stops, kills, restarts, reloads and pauses of nodes,
 * wall clocks that step, system calls that fail, servers that die, fall silent, drain, return cold or spoil their
 * answers, a discovery that goes away, clients that leave half a request behind. All is drawn from the seed. What
 * crossed the sockets is held against the rules, and what the nodes logged against their invariants.
 */
public final class Soak implements Scenario {
    private static final int NODE_COUNT = 24;
    private static final int QUICK_NODE_COUNT = 5;
    private static final int BACKEND_COUNT = 18;
    private static final int DURATION_SECONDS = 60;
    private static final int QUICK_DURATION_SECONDS = 20;
    /** Requests a second of each node. */
    private static final double REQUESTS_PER_SECOND_PER_NODE = 3;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DEADLINE_GRACE_NANOS = NANOS_PER_SECOND / 2;
    /** A planned end may take as long as a request may wait and its answer run. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 30_000;

    private static final int SIGTERM_EXIT_STATUS = 143;
    private static final long READY_TIMEOUT_MILLIS = 10_000;
    private static final EngineProfile PROFILE =
            new EngineProfile("full-rate", 60, 60, 400_000, 2048, 8, 0.1, 25_000, 1, 2, 2);
    private static final Pattern LOGGED_FAILURE =
            Pattern.compile("(?m)^.*(SEVERE|Exception|invariant|had no answer at its deadline).*$");

    private final List<String> injectedFaults = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private RandomGenerator random;
    private Testbed testbed;
    private List<FaultShim> shims;
    /** Nodes and servers to which something is being done that can't overlap with another of its kind. */
    private final Set<Object> targetsInUse = new HashSet<>();

    private int usedBackendIds;
    private long startedAt;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String purpose() {
        return "two dozen real nodes under overlapping troubles of nodes, system calls, servers, discovery and clients";
    }

    @Override
    public ScenarioReport run(long seed, boolean quick) throws Exception {
        random = new Well19937c(seed);
        int nodes = quick ? QUICK_NODE_COUNT : NODE_COUNT;
        int seconds = quick ? QUICK_DURATION_SECONDS : DURATION_SECONDS;
        ExecutorService executor = Executors.newCachedThreadPool();
        try (Testbed created = new Testbed()) {
            testbed = created;
            prepare(nodes);
            List<Future<?>> pendingFaults = new ArrayList<>();
            List<ArrivalPlan.Turn> turns = ArrivalPlan.draw(random, REQUESTS_PER_SECOND_PER_NODE * nodes, seconds);
            LoadGenerator generator = new LoadGenerator(
                    testbed.clientWorker.getIoThread(),
                    testbed.clientTimers,
                    testbed.rules,
                    testbed.nodeAddresses(),
                    seconds + 1,
                    seed);
            generator.setDeadlineGrace(DEADLINE_GRACE_NANOS);
            generator.includeNonIdempotentRequests();
            startedAt = System.nanoTime();
            Testbed.runOn(testbed.clientWorker, () -> generator.start(turns));
            while (System.nanoTime() - startedAt < seconds * NANOS_PER_SECOND) {
                InjectedFault fault = InjectedFault.values()[random.nextInt(InjectedFault.values().length)];
                int selector = random.nextInt(1 << 20);
                pendingFaults.add(executor.submit(loggedInjection(fault, selector)));
                TimeUnit.MILLISECONDS.sleep(150 + random.nextInt(quick ? 500 : 250));
            }
            for (Future<?> fault : pendingFaults) {
                fault.get(2, TimeUnit.MINUTES);
            }
            removeSystemCallFaults();
            for (int i = 0; i < 150 && generator.openTurns() > 0; i++) {
                TimeUnit.MILLISECONDS.sleep(100);
            }
            shutDownNodes();
            return createReport(generator, seed, nodes);
        } finally {
            executor.shutdownNow();
        }
    }

    private void prepare(int nodes) throws Exception {
        shims = new ArrayList<>();
        for (int i = 0; i < BACKEND_COUNT; i++) {
            testbed.addBackend(PROFILE, ApiFormat.CHAT);
        }
        usedBackendIds = BACKEND_COUNT;
        testbed.prepareNodes(nodes, 300 * NANOS_PER_MILLI);
        Path library = FaultShim.isAvailable() ? FaultShim.compile(testbed.directory) : null;
        for (NodeProcess node : testbed.nodes) {
            if (library != null) {
                FaultShim shim = FaultShim.create(library, testbed.directory.resolve(node.name() + ".faults"));
                node.setEnvironment(shim.environment());
                shims.add(shim);
            }
        }
        testbed.startNodes(Map.of());
    }

    /** What can happen; each begins, lasts for a while and heals. */
    private enum InjectedFault {
        NODE_SHUTDOWN,
        NODE_KILL,
        NODE_RELOAD,
        NODE_PAUSE,
        WALL_CLOCK_STEP,
        ACCEPT_FAILURE,
        CONNECT_FAILURE,
        SOCKET_FAILURE,
        SHORT_TRANSFERS,
        WRITE_FAILURE,
        READ_FAILURE,
        BACKEND_CRASH,
        BACKEND_UNREACHABLE,
        BACKEND_REPLACEMENT,
        BACKEND_SLOWDOWN,
        RESPONSE_CORRUPTION,
        DISCOVERY_OUTAGE,
        PARTIAL_REQUESTS,
        IDLE_CONNECTIONS
    }

    private Callable<Void> loggedInjection(InjectedFault fault, int selector) {
        return () -> {
            synchronized (injectedFaults) {
                injectedFaults.add(
                        String.format("%.2f s: %s %d", (System.nanoTime() - startedAt) / 1e9, fault, selector));
            }
            inject(fault, selector);
            return null;
        };
    }

    private void inject(InjectedFault fault, int selector) throws Exception {
        int nodeIndex = selector % testbed.nodes.size();
        EngineServer backend = testbed.backends.get(selector % testbed.backends.size());
        int durationMillis = 300 + selector % 2500;
        switch (fault) {
            case NODE_SHUTDOWN -> restartNode(nodeIndex, true);
            case NODE_KILL -> restartNode(nodeIndex, false);
            case NODE_RELOAD -> runOnNode(nodeIndex, node -> node.sendSignal("HUP"));
            case NODE_PAUSE ->
                runOnNode(nodeIndex, node -> {
                    node.sendSignal("STOP");
                    TimeUnit.MILLISECONDS.sleep(selector % 150);
                    node.sendSignal("CONT");
                });
            case WALL_CLOCK_STEP ->
                shim(nodeIndex)
                        .stepWallClock((selector % 2 == 0 ? 1 : -1)
                                * (selector % 3 == 0 ? 3600 * NANOS_PER_SECOND : selector % 5000 * NANOS_PER_MILLI));
            case ACCEPT_FAILURE ->
                failSystemCall(
                        nodeIndex,
                        FaultShim.SystemCall.ACCEPT,
                        selector % 2 == 0 ? FaultShim.Errno.ENFILE : FaultShim.Errno.ENOBUFS,
                        1,
                        durationMillis / 2);
            case CONNECT_FAILURE ->
                failSystemCall(
                        nodeIndex,
                        FaultShim.SystemCall.CONNECT,
                        selector % 2 == 0 ? FaultShim.Errno.EADDRNOTAVAIL : FaultShim.Errno.ENETUNREACH,
                        1 + selector % 3,
                        durationMillis);
            case SOCKET_FAILURE ->
                failSystemCall(
                        nodeIndex,
                        FaultShim.SystemCall.SOCKET,
                        FaultShim.Errno.EMFILE,
                        1 + selector % 3,
                        durationMillis);
            case SHORT_TRANSFERS -> {
                shim(nodeIndex).limitTransfers(1 + selector % 40, 1 + selector % 30);
                TimeUnit.MILLISECONDS.sleep(durationMillis);
                shim(nodeIndex).limitTransfers(0, 0);
            }
            // Who is told by a failed write or read that its connection is gone has lost nothing that the node could
            // give.
            case WRITE_FAILURE -> failWhileExcused(nodeIndex, FaultShim.SystemCall.WRITE, FaultShim.Errno.EHOSTUNREACH);
            case READ_FAILURE -> failWhileExcused(nodeIndex, FaultShim.SystemCall.READ, FaultShim.Errno.ETIMEDOUT);
            case BACKEND_CRASH ->
                runExclusively(backend, s -> stopAndRestartBackend(s, EngineServer::crash, durationMillis));
            case BACKEND_UNREACHABLE ->
                runExclusively(backend, s -> stopAndRestartBackend(s, EngineServer::becomeUnreachable, durationMillis));
            case BACKEND_REPLACEMENT -> runExclusively(backend, s -> replaceBackend(s, durationMillis));
            case BACKEND_SLOWDOWN -> slowBackend(backend, durationMillis);
            case RESPONSE_CORRUPTION -> corruptResponses(backend, selector, durationMillis);
            case DISCOVERY_OUTAGE -> interruptDiscovery(durationMillis);
            case PARTIAL_REQUESTS -> sendPartialRequests(nodeIndex, selector);
            default -> openIdleConnections(nodeIndex);
        }
    }

    private interface TargetOperation<T> {
        void apply(T object) throws Exception;
    }

    private void runOnNode(int nodeIndex, TargetOperation<NodeProcess> operation) throws Exception {
        runExclusively(testbed.nodes.get(nodeIndex), operation);
    }

    /** Does it unless something else is being done to the same node or server. */
    private <T> void runExclusively(T target, TargetOperation<T> operation) throws Exception {
        synchronized (targetsInUse) {
            if (!targetsInUse.add(target)) {
                return;
            }
        }
        try {
            operation.apply(target);
        } finally {
            synchronized (targetsInUse) {
                targetsInUse.remove(target);
            }
        }
    }

    private FaultShim shim(int nodeIndex) {
        return shims.isEmpty() ? FaultShim.none() : shims.get(nodeIndex);
    }

    private void failSystemCall(
            int nodeIndex, FaultShim.SystemCall call, FaultShim.Errno error, int oneIn, int durationMillis)
            throws Exception {
        shim(nodeIndex).fail(call, error, oneIn);
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        shim(nodeIndex).heal(call);
    }

    private void failWhileExcused(int nodeIndex, FaultShim.SystemCall call, FaultShim.Errno error) throws Exception {
        String name = testbed.nodes.get(nodeIndex).name();
        testbed.rules.setNodeExcused(name, true);
        failSystemCall(nodeIndex, call, error, 40, 400);
        TimeUnit.MILLISECONDS.sleep(100);
        testbed.rules.setNodeExcused(name, false);
    }

    /** A planned end, or a kill, and a new process some time after it. */
    private void restartNode(int nodeIndex, boolean planned) throws Exception {
        runOnNode(nodeIndex, node -> {
            if (planned) {
                node.sendSignal("TERM");
                int status = node.awaitExit(SHUTDOWN_TIMEOUT_MILLIS);
                if (status != SIGTERM_EXIT_STATUS) {
                    recordFailure(node.name() + " ended with status " + status + " at a planned end");
                }
            }
            testbed.rules.onNodeKilled(node.name());
            node.close();
            testbed.rules.onNodeKilled(node.name());
            TimeUnit.MILLISECONDS.sleep(200);
            long startedAt = System.nanoTime();
            testbed.start(nodeIndex, Map.of());
            while (!node.isReady()) {
                if (System.nanoTime() - startedAt > READY_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
                    recordFailure(node.name() + " was not ready within " + READY_TIMEOUT_MILLIS + " ms");
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
        });
    }

    private void recordFailure(String description) {
        synchronized (failures) {
            failures.add(String.format("%.2f s: %s", (System.nanoTime() - startedAt) / 1e9, description));
        }
    }

    // ---- Servers and discovery --------------------------------------------------------------------------

    private static DiscoveredEndpoint member(EngineServer backend, EndpointPhase phase) {
        DiscoveredEndpoint listed = Testbed.members(List.of(backend), phase).get(0);
        return new DiscoveredEndpoint(
                listed.id(),
                listed.host(),
                listed.port(),
                listed.zone(),
                listed.kind(),
                0,
                phase,
                1,
                System.currentTimeMillis());
    }

    private void slowBackend(EngineServer backend, int durationMillis) throws Exception {
        Testbed.runOn(testbed.backendWorker, () -> backend.setSlowdown(0.3));
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        Testbed.runOn(testbed.backendWorker, () -> backend.setSlowdown(1));
    }

    /** It dies or falls silent, and starts anew after a while. */
    private void stopAndRestartBackend(
            EngineServer backend, TargetOperation<EngineServer> stopOperation, int durationMillis) throws Exception {
        Testbed.runOn(testbed.backendWorker, () -> stopOperation.apply(backend));
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        Testbed.runOn(testbed.backendWorker, () -> {
            backend.restart();
            testbed.discovery.applyChanges(member(backend, EndpointPhase.READY));
        });
    }

    /** It drains, leaves, and another one comes at its address. */
    private void replaceBackend(EngineServer backend, int durationMillis) throws Exception {
        Testbed.runOn(
                testbed.backendWorker, () -> testbed.discovery.applyChanges(member(backend, EndpointPhase.DRAINING)));
        TimeUnit.MILLISECONDS.sleep(durationMillis + 2000);
        Testbed.runOn(testbed.backendWorker, () -> {
            testbed.discovery.applyChanges(member(backend, EndpointPhase.GONE));
            backend.replace(Testbed.backendId(1000 + usedBackendIds++));
            backend.restart();
        });
        TimeUnit.MILLISECONDS.sleep(300);
        Testbed.runOn(
                testbed.backendWorker, () -> testbed.discovery.applyChanges(member(backend, EndpointPhase.READY)));
    }

    private void corruptResponses(EngineServer backend, int selector, int durationMillis) throws Exception {
        Fault.Kind[] kinds = Fault.Kind.values();
        Testbed.runOn(
                testbed.backendWorker,
                () -> backend.injectFaults(id -> Math.floorMod(id.hashCode() + selector, 3) == 0
                        ? new Fault(
                                kinds[Math.floorMod(id.hashCode() / 3 + selector, kinds.length)],
                                Math.floorMod(id.hashCode(), 900),
                                50 * NANOS_PER_MILLI)
                        : null));
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        Testbed.runOn(testbed.backendWorker, () -> backend.injectFaults(id -> null));
    }

    private void interruptDiscovery(int durationMillis) throws Exception {
        synchronized (this) {
            Testbed.runOn(testbed.backendWorker, () -> testbed.discovery.stopServing());
            TimeUnit.MILLISECONDS.sleep(durationMillis);
            Testbed.runOn(testbed.backendWorker, () -> testbed.discovery.resumeServing());
        }
    }

    // ---- Clients ----------------------------------------------------------------------------------------

    private void sendPartialRequests(int nodeIndex, int selector) throws Exception {
        try (MalformedClients clients =
                new MalformedClients(testbed.nodes.get(nodeIndex).address())) {
            clients.connect(
                    8, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Req".substring(0, 1 + selector % 50));
            if (!clients.areClosedWithin(3000 + 500)) {
                recordFailure(testbed.nodes.get(nodeIndex).name() + " kept half a request for over 3.5 s");
            }
        }
    }

    private void openIdleConnections(int nodeIndex) throws Exception {
        try (MalformedClients clients =
                new MalformedClients(testbed.nodes.get(nodeIndex).address())) {
            clients.connect(40, "");
            TimeUnit.MILLISECONDS.sleep(500);
        }
    }

    // ---- The end ----------------------------------------------------------------------------------------

    private void removeSystemCallFaults() {
        for (FaultShim shim : shims) {
            for (FaultShim.SystemCall call : FaultShim.SystemCall.values()) {
                shim.heal(call);
            }
            shim.limitTransfers(0, 0);
        }
    }

    private void shutDownNodes() throws Exception {
        for (NodeProcess node : testbed.nodes) {
            node.sendSignal("TERM");
        }
        for (NodeProcess node : testbed.nodes) {
            int status = node.awaitExit(SHUTDOWN_TIMEOUT_MILLIS);
            if (status != SIGTERM_EXIT_STATUS) {
                recordFailure(node.name() + " ended with status " + status);
            }
        }
    }

    private ScenarioReport createReport(LoadGenerator generator, long seed, int nodes) throws IOException {
        List<String> loggedFailures = new ArrayList<>();
        for (NodeProcess node : testbed.nodes) {
            LOGGED_FAILURE
                    .matcher(node.readLog())
                    .results()
                    .limit(3)
                    .forEach(line -> loggedFailures.add(node.name() + ": " + line.group()));
        }
        ScenarioReport report = new ScenarioReport();
        Map<Rule, List<String>> violations = testbed.rules.violations();
        for (Rule rule : Rule.values()) {
            List<String> cases = violations.getOrDefault(rule, List.of());
            report.addCheck("rule " + rule, Integer.toString(cases.size()), "0", cases.isEmpty());
        }
        report.addCheck(
                "ends, readiness and half requests", Integer.toString(failures.size()), "0", failures.isEmpty());
        report.addCheck(
                "lines of faults in the nodes' logs",
                Integer.toString(loggedFailures.size()),
                "0",
                loggedFailures.isEmpty());
        report.addMeasurement("seed, nodes, troubles", seed + ", " + nodes + ", " + injectedFaults.size());
        report.addMeasurement("turns", generator.outcomeTotals().toString());
        report.addMeasurement(
                "system calls that failed",
                shims.isEmpty()
                        ? "none: no C compiler"
                        : Long.toString(shims.stream()
                                .mapToLong(FaultShim::failureCount)
                                .sum()));
        if (!violations.isEmpty() || !failures.isEmpty() || !loggedFailures.isEmpty()) {
            violations.forEach(
                    (rule, cases) -> cases.stream().limit(5).forEach(line -> System.out.println(rule + ": " + line)));
            failures.forEach(System.out::println);
            loggedFailures.forEach(System.out::println);
            injectedFaults.forEach(System.out::println);
            if (System.getProperty("lab.logs") != null) {
                Directories.copyFiles(testbed.directory, Path.of(System.getProperty("lab.logs")));
            }
        }
        return report;
    }
}
