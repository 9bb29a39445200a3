package fawnlb.server;

import fawnlb.admin.AdminHandler;
import fawnlb.backend.BackendPool;
import fawnlb.client.ClientConnectionTracker;
import fawnlb.client.ConnectionQuota;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.DiscoveryClient;
import fawnlb.filter.EndpointFilter;
import fawnlb.filter.EndpointFilterChain;
import fawnlb.http.RequestBodyReader;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryPlan;
import fawnlb.metrics.LogLine;
import fawnlb.policy.BoundedLoadBalancer;
import fawnlb.proxy.ProxyContext;
import fawnlb.proxy.RequestProxy;
import fawnlb.restore.RestoredEndpointFilter;
import fawnlb.snapshot.SnapshotRecorder;
import fawnlb.snapshot.SnapshotStore;
import fawnlb.stream.StreamRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;

/**
 * One running server. It creates the parts, connects them, and starts them; what they do, they do on the one I/O
 * thread. The methods may be called on any other thread.
 */
public final class Server {
    private static final Logger LOG = Logger.getLogger(Server.class.getName());
    private static final String ADMIN_LISTENER = "admin";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /**
     * How long a connection to a backend stays unused between two requests. A faulty backend sends a second response
     * some milliseconds after the first; the delay, ten times as long, keeps it from being read as that to the next
     * request.
     */
    static final long CONNECTION_REUSE_DELAY_NANOS = 50 * NANOS_PER_MILLI;

    private static final long HEALTH_CHECK_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;
    private static final long REQUEST_HEAD_TIMEOUT_NANOS = 2000 * NANOS_PER_MILLI;
    /** The platform allows to close a connection without a request after 2 s, and demands it within 3 s. */
    private static final long CLIENT_IDLE_TIMEOUT_NANOS = 2300 * NANOS_PER_MILLI;

    private final ServerConfiguration configuration;
    private final MessagesConfiguration messages;
    private final StartupConfiguration startup;
    private final StreamConfiguration streaming;
    private final MemoryPlan memoryPlan;
    private final StartupRetry startupRetry = new StartupRetry(() -> this.shutdownRequested);
    private volatile boolean shutdownRequested;
    private EventLoop eventLoop;
    private ClientConnectionTracker connections;
    private HttpListeners listeners;
    private RequestProxy requestProxy;
    private DiscoveryClient discovery;
    private Fronts fronts;
    private InetSocketAddress adminAddress;
    /** Null until the server has started. */
    private GracefulShutdown gracefulShutdown;

    /**
     * Creates a server that does nothing until it is started.
     *
     * @param messages the messages API's configuration, null if the server does not offer it
     */
    public Server(
            ServerConfiguration configuration,
            MessagesConfiguration messages,
            StartupConfiguration startup,
            StreamConfiguration streaming) {
        this.configuration = configuration;
        this.messages = messages;
        this.startup = startup;
        this.streaming = streaming;
        DescriptorBudget descriptors = new DescriptorBudget(configuration.maxDescriptors());
        this.memoryPlan = MemoryPlan.divide(
                Runtime.getRuntime().maxMemory(),
                descriptors.maxClientConnections(),
                descriptors.maxBackendConnections());
    }

    /**
     * Starts the server and returns when all its listeners accept connections.
     *
     * @throws IOException if an address cannot be bound or a thread not be started for the time that
     *     {@link StartupRetry} allows, or if a shutdown was requested meanwhile
     */
    public synchronized void start() throws IOException {
        eventLoop = startupRetry.run("I/O thread", EventLoop::start);
        MemoryBudget memory = createMemoryBudget();
        RequestBodyReader bodyReader = new RequestBodyReader(memory, eventLoop.timers());
        connections = createConnectionTracker(memory, bodyReader);
        listeners = new HttpListeners(eventLoop, connections, startupRetry);
        StreamRegistry streams = new StreamRegistry(streaming.timeouts(), memory);
        BackendPool backends = createBackendPool(streams);
        RestoredEndpoints restored = RestoredEndpoints.read(
                startup, configuration.initialEndpoints(), eventLoop.timers().now());
        // The gate's wait for discovery starts here: the time in which the snapshot was read is no part of it.
        ReadinessGate readiness = new ReadinessGate(eventLoop.timers());
        startRequestProxy(backends, restored, readiness, memory);
        fronts = new Fronts(configuration, messages, eventLoop, listeners, bodyReader);
        fronts.open(requestProxy, readiness, connections);
        openAdminListener(new AdminHandler(streams, backends::describeAddress));
        eventLoop.startWatchdog();
        gracefulShutdown = new GracefulShutdown(eventLoop, readiness, listeners, connections, requestProxy);
        LOG.info(LogLine.event("server listening")
                .with("name", configuration.name())
                .with("platform_address", platformAddress().toString())
                .with(
                        "messages_address",
                        messagesAddress() == null ? null : messagesAddress().toString())
                .toString());
    }

    private MemoryBudget createMemoryBudget() {
        MemoryMonitor monitor = new MemoryMonitor(eventLoop.timers());
        MemoryBudget memory = new MemoryBudget(memoryPlan.capacityBytes(), memoryPlan.responseBytes(), monitor);
        monitor.publish(memory, memoryPlan, configuration.memoryLimitMegabytes());
        return memory;
    }

    private ClientConnectionTracker createConnectionTracker(MemoryBudget memory, RequestBodyReader bodyReader) {
        ClientConnectionTracker.Limits limits = new ClientConnectionTracker.Limits(
                memoryPlan.maxClientConnections(), CLIENT_IDLE_TIMEOUT_NANOS, REQUEST_HEAD_TIMEOUT_NANOS);
        return new ClientConnectionTracker(limits, eventLoop.timers(), memory, bodyReader::rejectSlowest);
    }

    private BackendPool createBackendPool(StreamRegistry streams) {
        LoadBalancerSettings settings = configuration.settings();
        BackendPool.Limits limits = new BackendPool.Limits(
                settings.connectionTimeouts().connectTimeoutNanos(),
                settings.connectionTimeouts().idleTimeoutNanos(),
                CONNECTION_REUSE_DELAY_NANOS,
                HEALTH_CHECK_TIMEOUT_NANOS,
                memoryPlan.maxBackendConnections(),
                settings.loadReportFields());
        return new BackendPool(eventLoop.thread(), eventLoop.timers(), limits, streams);
    }

    /** Starts the proxy and, with the endpoints that are already known, discovery. */
    private void startRequestProxy(
            BackendPool backends, RestoredEndpoints restored, ReadinessGate readiness, MemoryBudget memory) {
        SnapshotRecorder recorder = createSnapshotRecorder(restored);
        List<EndpointFilter> filters = createEndpointFilters(recorder, restored);
        EndpointPublisher publisher = new EndpointPublisher(
                configuration.settings().names(),
                messages == null ? Set.of() : messages.messagesApiKinds(),
                backends,
                eventLoop.timers(),
                readiness,
                new EndpointMemory(memory, memoryPlan.maxEndpoints()));
        discovery = new DiscoveryClient(
                eventLoop.thread(),
                eventLoop.timers(),
                eventLoop.newMailbox(),
                configuration.discoveryAddress(),
                publisher);
        // Where endpoint lists are pushed, they are pushed to an agent on this machine, which the server has to poll.
        requestProxy = new RequestProxy(
                new ProxyContext(
                        configuration.settings().withWatchedDiscovery(), eventLoop.newMailbox(), eventLoop.timers()),
                configuration.seed(),
                (settings, seed, sink) ->
                        new EndpointFilterChain(filters, BoundedLoadBalancer::new, settings, seed, sink),
                backends,
                discovery);
        if (startup.isListTrusted()) {
            readiness.onEndpointsKnown();
        }
        publisher.connect(requestProxy, recorder);
        discovery.startFromCachedList(restored.endpointList());
    }

    /** Creates the recorder of snapshots, or returns null if the configuration names no file for them. */
    private SnapshotRecorder createSnapshotRecorder(RestoredEndpoints restored) {
        if (startup.snapshotFile() == null) {
            return null;
        }
        SnapshotRecorder recorder = new SnapshotRecorder(
                eventLoop.newMailbox(),
                eventLoop.newBlockingTaskMailbox(),
                eventLoop.timers(),
                new SnapshotStore(startup.snapshotFile()),
                startup.snapshotPacing());
        if (restored.snapshot() != null) {
            recorder.restore(restored.snapshot());
        }
        return recorder;
    }

    private List<EndpointFilter> createEndpointFilters(SnapshotRecorder recorder, RestoredEndpoints restored) {
        List<EndpointFilter> filters = new ArrayList<>();
        if (recorder != null) {
            filters.add(recorder);
        }
        if (!startup.isListTrusted()) {
            filters.add(new RestoredEndpointFilter(
                    startup.restoreRules(), configuration.seed(), restored.lastContactAtNanos(), LOG::info));
        }
        return filters;
    }

    private void openAdminListener(AdminHandler admin) throws IOException {
        if (streaming.adminAddress() != null) {
            ConnectionQuota quota = connections.reserveFor(ADMIN_LISTENER, DescriptorBudget.MAX_ADMIN_CONNECTIONS);
            adminAddress = listeners.open(streaming.adminAddress(), admin, quota);
        }
        if (streaming.statisticsLogIntervalNanos() > 0) {
            admin.scheduleStatisticsLog(streaming.statisticsLogIntervalNanos(), eventLoop.timers());
        }
    }

    /** The address at which the platform's API listens. */
    InetSocketAddress platformAddress() {
        return fronts.platformAddress();
    }

    /** The address at which the messages API listens, null if the server does not offer it. */
    InetSocketAddress messagesAddress() {
        return fronts.messagesAddress();
    }

    /** The address of the admin listener, null if there is none. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** The number of requests that have no answer yet or whose attempt still runs. */
    int openRequests() {
        return requestProxy.openRequests();
    }

    /** Moves discovery to the address that the new configuration names. All other settings stay as they are. */
    public synchronized void reload(ServerConfiguration newConfiguration) {
        discovery.changeAddress(newConfiguration.discoveryAddress());
    }

    /**
     * Shuts the server down as {@link GracefulShutdown} does. A start that is under way ends first, since it may have
     * accepted connections; a server that has not started does nothing.
     */
    public void shutDownGracefully() {
        shutdownRequested = true;
        GracefulShutdown shutdown = shutdownOfStartedServer();
        if (shutdown != null) {
            shutdown.run();
        }
    }

    private synchronized GracefulShutdown shutdownOfStartedServer() {
        return gracefulShutdown;
    }

    /** Ends the server at once, whatever it serves. */
    void stopNow() {
        listeners.closeNow();
        eventLoop.stopNow();
    }
}
