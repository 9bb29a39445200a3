package fawnlb.lab.testbed;

import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.lab.discovery.DiscoveryServer;
import fawnlb.lab.engine.ApiFormat;
import fawnlb.lab.engine.EngineProfile;
import fawnlb.lab.engine.EngineServer;
import fawnlb.lab.engine.EngineSpec;
import fawnlb.lab.engine.SlowStartProfile;
import fawnlb.lab.load.ArrivalPlan;
import fawnlb.lab.load.LoadClient;
import fawnlb.lab.load.LoadGenerator;
import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.load.PersistentClients;
import fawnlb.lab.node.NodeConfiguration;
import fawnlb.lab.node.NodeFailedException;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * What a scenario runs on: emulated backends and a discovery service on one I/O thread, emulated clients on another
 * one, nodes in processes of their own, and a directory for their files. Closing it ends and deletes all of them.
 *
 * <p>The methods are called by the scenario's thread. Backends and the discovery service may only be touched through
 * {@link #runOnBackends}, clients only through {@link #runOnClients}.
 */
public final class Testbed implements AutoCloseable {
    /** The slow start that the operators state for their hosts. */
    public static final SlowStartProfile SLOW_START = new SlowStartProfile(0.36, 8_900_000_000L, 4, 3_000_000_000L);

    /** The part of a prompt that backends don't find in their caches in the long run. */
    public static final double UNCACHED_PROMPT_SHARE = 0.35;

    /** Attempts of a request and time after a drain, as the nodes' settings have them. */
    private static final int MAX_ATTEMPTS = 6;

    private static final long DRAIN_GRACE_NANOS = 750_000_000;
    private static final int READY_TIMEOUT_SECONDS = 20;
    private static final int READY_POLL_MILLIS = 20;
    /** The part of full-rate hosts in the operators' fleet. */
    private static final int FULL_RATE_PERCENT = 53;

    private static final int MILLIS_PER_SECOND = 1000;
    /** How long turns may take to end after the last has begun. */
    private static final int COMPLETION_TIMEOUT_MILLIS = 15_000;

    private static final int COMPLETION_POLL_MILLIS = 100;

    private final Path directory;
    private final XnioWorker backendWorker;
    private final XnioWorker clientWorker;
    /** Both clocks have the same zero. */
    private final EventLoopTimers backendTimers;

    private final EventLoopTimers clientTimers;
    private final RuleChecker rules = new RuleChecker(MAX_ATTEMPTS, DRAIN_GRACE_NANOS);
    private final List<EngineServer> backends = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final AtomicLong lastPersistentRequest = new AtomicLong();
    private DiscoveryServer discovery;

    /** Creates a testbed without backends and nodes. */
    public Testbed() throws IOException {
        directory = Directories.createTemporary();
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

    /** Returns the directory of the nodes' files. */
    public Path directory() {
        return directory;
    }

    /** Returns the checker that all emulated parts report to. */
    public RuleChecker rules() {
        return rules;
    }

    /** Returns the time of the clock that all emulated parts use. */
    public long now() {
        return backendTimers.now();
    }

    // ---- Threads --------------------------------------------------------------------------------------

    /** Runs a task on the thread of the backends and the discovery service, and waits for its end. */
    public void runOnBackends(IoTask task) throws IOException, InterruptedException {
        Tasks.runOn(backendWorker, task);
    }

    /** Runs a task on the thread of the clients, and waits for its end. */
    public void runOnClients(IoTask task) throws IOException, InterruptedException {
        Tasks.runOn(clientWorker, task);
    }

    /** Runs a task once on the thread of the backends after this time. */
    public void scheduleOnBackends(long delayNanos, Runnable task) {
        backendTimers.schedule(delayNanos, task);
    }

    /** Starts a schedule; changes that are due at its start are done when the method returns. */
    public void start(FleetSchedule schedule) throws IOException, InterruptedException {
        runOnBackends(() -> schedule.start(backendTimers));
    }

    // ---- Backends and discovery -----------------------------------------------------------------------

    /** Returns all backends. */
    public List<EngineServer> backends() {
        return Collections.unmodifiableList(backends);
    }

    /** Adds a backend that has passed its slow start. */
    public EngineServer addBackend(EngineProfile profile, ApiFormat apiFormat) throws IOException {
        EngineSpec spec = new EngineSpec(EmulatedEndpoints.id(backends.size()), profile, apiFormat, SLOW_START, 0);
        EngineServer backend = new EngineServer(spec, backendWorker, backendTimers, rules);
        backends.add(backend);
        return backend;
    }

    /** Adds backends of one profile that have passed their slow start. */
    public void addBackends(int count, EngineProfile profile, ApiFormat apiFormat) throws IOException {
        for (int i = 0; i < count; i++) {
            addBackend(profile, apiFormat);
        }
    }

    /** Adds backends of the two host types, drawn from the operators' ranges. */
    public void addRandomBackends(int count, RandomGenerator random) throws IOException {
        for (int i = 0; i < count; i++) {
            boolean fullRate = random.nextInt(100) < FULL_RATE_PERCENT;
            EngineProfile profile = fullRate ? EngineProfile.drawFullRate(random) : EngineProfile.drawSlowRate(random);
            addBackend(profile, ApiFormat.CHAT);
        }
    }

    /**
     * Returns how many turns of an {@link ArrivalPlan} these backends can serve in a second.
     *
     * @param uncachedPromptShare the part of a prompt that backends don't find in their caches
     */
    public static double turnsPerSecond(List<EngineServer> backends, double uncachedPromptShare) {
        double promptTokens = ArrivalPlan.MEAN_PROMPT_TOKENS * uncachedPromptShare;
        return backends.stream()
                .mapToDouble(backend ->
                        MILLIS_PER_SECOND / backend.profile().workMillis(promptTokens, ArrivalPlan.MEAN_OUTPUT_TOKENS))
                .sum();
    }

    /** Creates the discovery service for all nodes, with an empty list. */
    public void createDiscovery(long revision, long notificationDelayNanos) throws IOException, InterruptedException {
        List<String> names = nodes.stream().map(NodeProcess::name).toList();
        runOnBackends(() -> discovery =
                new DiscoveryServer(names, revision, notificationDelayNanos, backendWorker, backendTimers, rules));
    }

    /** Returns the discovery service, to be touched on the thread of the backends. */
    public DiscoveryServer discovery() {
        return discovery;
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    /** Returns all nodes, started or not. */
    public List<NodeProcess> nodes() {
        return Collections.unmodifiableList(nodes);
    }

    /** Adds nodes without starting them. */
    public void createNodes(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            nodes.add(new NodeProcess("n" + nodes.size(), directory));
        }
    }

    /** Adds nodes without starting them, and a discovery service that lists all backends as ready. */
    public void prepareNodes(int count, long notificationDelayNanos) throws IOException, InterruptedException {
        createNodes(count);
        createDiscovery(1, notificationDelayNanos);
        runOnBackends(() -> discovery.replaceList(1, EmulatedEndpoints.of(backends, EndpointPhase.READY)));
    }

    /**
     * Starts one of the nodes and does not wait for it.
     *
     * @param operatorFiles contents of the operators' files by the option that names them
     */
    public void startNode(int nodeIndex, Map<String, String> operatorFiles) throws IOException {
        NodeProcess node = nodes.get(nodeIndex);
        node.start(
                new NodeConfiguration(
                        nodeIndex,
                        nodes.size(),
                        discovery.address(node.name()),
                        EmulatedEndpoints.ZONES,
                        EmulatedEndpoints.PROFILE_NAMES),
                operatorFiles);
    }

    /** Starts all nodes with the same files, and waits until they are ready and know the backends. */
    public void startNodes(Map<String, String> operatorFiles) throws IOException, InterruptedException {
        for (int i = 0; i < nodes.size(); i++) {
            startNode(i, operatorFiles);
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        for (NodeProcess node : nodes) {
            while (!node.isReady()) {
                requireNodesAlive();
                if (System.nanoTime() > end) {
                    throw NodeFailedException.notReady(node);
                }
                TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
            }
        }
        // A node is ready before its first call to discovery has been answered.
        TimeUnit.SECONDS.sleep(1);
    }

    /** Prepares and starts nodes, and waits until they are ready and know the backends. */
    public void startNodes(int count, long notificationDelayNanos, Map<String, String> operatorFiles)
            throws IOException, InterruptedException {
        prepareNodes(count, notificationDelayNanos);
        startNodes(operatorFiles);
    }

    /** Throws an exception if a node has ended by itself. */
    public void requireNodesAlive() throws IOException {
        for (NodeProcess node : nodes) {
            if (!node.isAlive()) {
                throw NodeFailedException.ended(node);
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /** Creates a client of single requests to an address of a node. */
    public LoadClient createClient(NodeProcess node, InetSocketAddress address) {
        return new LoadClient(clientWorker.getIoThread(), clientTimers, rules, node.name(), address);
    }

    /**
     * Creates clients of a node that send on and on, to be started on the thread of the clients.
     *
     * @param onStatus learns the status of each response, 0 for a connection that ended without one
     */
    public PersistentClients createPersistentClients(NodeProcess node, Consumer<Integer> onStatus) {
        return new PersistentClients(
                createClient(node, node.address()),
                clientTimers,
                rules,
                () -> "p" + lastPersistentRequest.incrementAndGet(),
                onStatus);
    }

    /** Creates a load generator for all nodes, whose statistics cover a run of this duration. */
    public LoadGenerator createLoadGenerator(int seconds, long seed) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        nodes.forEach(node -> addresses.put(node.name(), node.address()));
        return new LoadGenerator(clientWorker.getIoThread(), clientTimers, rules, addresses, seconds + 1, seed);
    }

    /** Sends the turns of a run of this duration and waits for their ends. */
    public LoadStatistics runLoad(List<ArrivalPlan.Turn> turns, int seconds, long seed)
            throws IOException, InterruptedException {
        LoadGenerator generator = createLoadGenerator(seconds, seed);
        runOnClients(() -> generator.start(turns));
        TimeUnit.SECONDS.sleep(seconds + 1);
        awaitCompletion(generator.statistics());
        requireNodesAlive();
        return generator.statistics();
    }

    /** Waits until no turn is open, or until the time for that is over. */
    public static void awaitCompletion(LoadStatistics statistics) throws InterruptedException {
        for (int waitedMillis = 0;
                waitedMillis < COMPLETION_TIMEOUT_MILLIS && statistics.openTurns() > 0;
                waitedMillis += COMPLETION_POLL_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(COMPLETION_POLL_MILLIS);
        }
    }

    /** Kills the nodes, stops all emulated parts and deletes the directory. */
    @Override
    public void close() throws IOException {
        nodes.forEach(NodeProcess::close);
        try {
            runOnBackends(() -> backends.forEach(EngineServer::close));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        backendWorker.shutdownNow();
        clientWorker.shutdownNow();
        Directories.deleteRecursively(directory);
    }
}
