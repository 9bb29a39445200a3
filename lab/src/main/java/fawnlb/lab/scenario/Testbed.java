package fawnlb.lab.scenario;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.lab.discovery.DiscoveryServer;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.Engine;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * What a scenario plays on: boxes, a roster, nodes in processes of their own, and a folder; all go when it is closed.
 */
final class Testbed implements AutoCloseable {
    static final Engine.SlowStartProfile SLOW_START =
            new Engine.SlowStartProfile(0.36, 8_900_000_000L, 4, 3_000_000_000L);
    private static final String[] ZONES = {"regina-east", "saskatoon-north"};
    private static final List<String> PROFILE_NAMES = List.of("full-rate", "slow-rate");
    private static final int MAX_ATTEMPTS = 6;
    private static final long DRAIN_GRACE_NANOS = 750_000_000;
    private static final int READY_TIMEOUT_SECONDS = 20;
    private static final int FULL_RATE_PERCENT = 53;
    /** Tenths of a second that turns may take to end after the last has been asked. */
    private static final int COMPLETION_POLLS = 150;

    final Path directory;
    final XnioWorker backendWorker;
    final XnioWorker clientWorker;
    /** The fleet's clock; that of the clients has the same zero. */
    final EventLoopTimers backendTimers;

    final EventLoopTimers clientTimers;
    final RuleChecker rules = new RuleChecker(MAX_ATTEMPTS, DRAIN_GRACE_NANOS);
    final List<EngineServer> backends = new ArrayList<>();
    final List<NodeProcess> nodes = new ArrayList<>();
    DiscoveryServer discovery;

    Testbed() throws IOException {
        directory = Files.createTempDirectory("fawnlb-lab");
        backendWorker = createWorker("fleet");
        clientWorker = createWorker("clients");
        backendTimers = new EventLoopTimers(backendWorker.getIoThread());
        clientTimers = new EventLoopTimers(clientWorker.getIoThread());
    }

    private static XnioWorker createWorker(String name) throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_NAME, name)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
    }

    /** A box's id by its number. */
    static String backendId(int number) {
        return String.format("s-%08x", 0x5eed0000 + number * 7919);
    }

    /** One more box, long since warm. */
    EngineServer addBackend(EngineProfile profile, ApiFormat apiFormat) throws IOException {
        EngineServer backend = new EngineServer(
                backendId(backends.size()), profile, apiFormat, SLOW_START, 0, backendWorker, backendTimers, rules);
        backends.add(backend);
        return backend;
    }

    /** So many boxes more, of the two kinds as the operators have them. */
    void addRandomBackends(int count, RandomGenerator random) throws IOException {
        for (int i = 0; i < count; i++) {
            addBackend(EngineProfile.draw(random.nextInt(100) < FULL_RATE_PERCENT, random), ApiFormat.CHAT);
        }
    }

    /**
     * Turns a second that these boxes can serve; {@code uncachedShare}: of a turn's prompt, the part that is not found
     * kept.
     */
    static double turnsPerSecond(List<EngineServer> backends, double uncachedShare) {
        return backends.stream()
                .mapToDouble(backend -> 1000
                        / backend.profile()
                                .workMillis(
                                        ArrivalPlan.MEAN_UNCACHED_PROMPT_TOKENS * uncachedShare,
                                        ArrivalPlan.MEAN_OUTPUT_TOKENS))
                .sum();
    }

    /** Boxes as the roster lists them. */
    static List<DiscoveredEndpoint> members(List<EngineServer> backends, EndpointPhase phase) {
        return backends.stream()
                .map(backend -> new DiscoveredEndpoint(
                        backend.id(),
                        "127.0.0.1",
                        backend.address().getPort(),
                        ZONES[Math.floorMod(backend.id().hashCode(), ZONES.length)],
                        backend.profile().name(),
                        0,
                        phase,
                        1,
                        0))
                .toList();
    }

    /** Names of so many nodes, which are made but not started. */
    Collection<String> createNodes(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            nodes.add(new NodeProcess("n" + i, directory));
        }
        return nodes.stream().map(NodeProcess::name).toList();
    }

    /** Starts one of the nodes; {@code operatorFiles}: texts of operators' files by the option that names them. */
    void start(int nodeIndex, Map<String, String> operatorFiles) throws IOException {
        NodeProcess node = nodes.get(nodeIndex);
        node.start(
                new NodeProcess.NodeConfiguration(
                        nodeIndex, nodes.size(), discovery.address(node.name()), List.of(ZONES), PROFILE_NAMES),
                operatorFiles);
    }

    /** Starts so many nodes alike on all boxes, and waits until they are ready and know them. */
    void start(int count, long notificationDelayNanos, Map<String, String> operatorFiles) throws Exception {
        prepareNodes(count, notificationDelayNanos);
        startNodes(operatorFiles);
    }

    /** Makes so many nodes without starting them, and the roster that tells them of all boxes. */
    void prepareNodes(int count, long notificationDelayNanos) throws Exception {
        Collection<String> names = createNodes(count);
        runOn(backendWorker, () -> {
            discovery = new DiscoveryServer(names, 1, notificationDelayNanos, backendWorker, backendTimers, rules);
            discovery.replaceList(1, members(backends, EndpointPhase.READY));
        });
    }

    /** Starts all nodes alike, and waits until they are ready and know the boxes. */
    void startNodes(Map<String, String> operatorFiles) throws Exception {
        for (int i = 0; i < nodes.size(); i++) {
            start(i, operatorFiles);
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        for (NodeProcess node : nodes) {
            while (!node.isReady()) {
                requireNodesAlive();
                if (System.nanoTime() > end) {
                    throw new IOException(node.name() + " was not ready in time:\n" + node.readLog());
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        // The list follows readiness by a call.
        TimeUnit.SECONDS.sleep(1);
    }

    Map<String, InetSocketAddress> nodeAddresses() {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        nodes.forEach(node -> addresses.put(node.name(), node.address()));
        return addresses;
    }

    /** Plays the turns to their ends. */
    LoadGenerator runLoad(List<ArrivalPlan.Turn> turns, int seconds, long seed) throws Exception {
        LoadGenerator generator =
                new LoadGenerator(clientWorker.getIoThread(), clientTimers, rules, nodeAddresses(), seconds + 1, seed);
        runOn(clientWorker, () -> generator.start(turns));
        TimeUnit.SECONDS.sleep(seconds + 1);
        for (int i = 0; i < COMPLETION_POLLS && generator.openTurns() > 0; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        requireNodesAlive();
        return generator;
    }

    /** An error if a node has ended by itself. */
    void requireNodesAlive() throws IOException {
        for (NodeProcess node : nodes) {
            if (!node.isAlive()) {
                throw new IOException(node.name() + " ended by itself:\n" + node.readLog());
            }
        }
    }

    interface IoTask {
        void run() throws Exception;
    }

    /** Runs it on the worker's I/O thread and waits for it. */
    static void runOn(XnioWorker worker, IoTask task) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        Exception[] failure = new Exception[1];
        worker.getIoThread().execute(() -> {
            try {
                task.run();
            } catch (Exception e) {
                failure[0] = e;
            } finally {
                done.countDown();
            }
        });
        done.await();
        if (failure[0] != null) {
            throw failure[0];
        }
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(NodeProcess::close);
        try {
            runOn(backendWorker, () -> backends.forEach(EngineServer::close));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            throw new IOException(e);
        }
        backendWorker.shutdownNow();
        clientWorker.shutdownNow();
        Directories.deleteRecursively(directory);
    }
}
