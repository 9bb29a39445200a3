package fawnlb.server;

import fawnlb.admin.AdminHandler;
import fawnlb.backend.BackendPool;
import fawnlb.client.ClientConnectionTracker;
import fawnlb.client.ClientRequestHandler;
import fawnlb.client.InFlightRequestIds;
import fawnlb.client.Listener;
import fawnlb.client.ListenerGroup;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.DiscoveryClient;
import fawnlb.eventloop.EventLoopCall;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.EventLoopWatchdog;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.filter.EndpointFilter;
import fawnlb.filter.EndpointFilterChain;
import fawnlb.http.RequestBodyReader;
import fawnlb.messages.BrokerHandler;
import fawnlb.messages.RequestLog;
import fawnlb.metrics.Metrics;
import fawnlb.platform.PlatformHandler;
import fawnlb.policy.BoundedLoadBalancer;
import fawnlb.proxy.RequestProxy;
import fawnlb.restore.RestoredEndpointFilter;
import fawnlb.snapshot.SnapshotRecorder;
import fawnlb.snapshot.SnapshotStore;
import fawnlb.stream.StreamRegistry;
import fawnlb.syslog.SyslogFormatter;
import fawnlb.syslog.SyslogSender;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** One running node: its actors, all on one I/O thread, and its planned end. */
public final class Server {
    private static final Logger LOG = Logger.getLogger(Server.class.getName());
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long HEALTH_CHECK_TIMEOUT_NANOS = NANOS_PER_SECOND / 2;
    /**
     * A second answer comes some milliseconds late, says the operators' page; ten times as long is still little to
     * wait.
     */
    public static final long CONNECTION_REUSE_DELAY_NANOS = NANOS_PER_SECOND / 20;
    /** New connections keep coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_GRACE_PERIOD_MILLIS = 600;
    /** A planned end looks so often at what is left. */
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;
    /** How often a planned end says what it waits for. */
    private static final long DRAIN_LOG_INTERVAL_NANOS = 5 * NANOS_PER_SECOND;

    private static final int MAILBOX_CAPACITY = 8192;
    private static final int IO_BUFFER_BYTES = 8192;
    /**
     * A client's head may be so long and have so many headers, and takes so long at most. One of 62 headers was
     * measured to hold 22 KB of the heap while it is read, and 30 KB with 16 KiB; 635 clients, as many as 1,024
     * descriptors leave, can hold 14 MB with them at a time.
     */
    private static final int MAX_REQUEST_HEAD_BYTES = 8 * 1024;

    private static final int MAX_REQUEST_HEADERS = 64;
    private static final long REQUEST_HEAD_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
    /** A connection without a request may be closed after 2 s, and one that stays silent must be within 3 s. */
    private static final long CLIENT_IDLE_TIMEOUT_NANOS = 2300 * NANOS_PER_SECOND / 1000;

    private static final int LISTEN_BACKLOG_CONNECTIONS = 1000;
    /**
     * Bodies may hold so much, and a quarter of the heap at most: heads, streams and what stays for good need the rest.
     */
    private static final long MAX_BUFFERED_BODY_BYTES =
            Math.min(16L << 20, Runtime.getRuntime().maxMemory() / 4);
    /** Linux would hold megabytes for a client that does not read, and hide from the node that it does not. */
    private static final int CLIENT_SEND_BUFFER_BYTES = 64 * 1024;
    /**
     * Descriptors for all else: 22 of the process (jars, selectors, log), 6 of listeners, syslog and snapshot, 4 of the
     * list and a configuration that is read again, 12 connections kept only to be refused, 4 of operators.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final int MAX_ADMIN_CONNECTIONS = 4;

    private final ServerConfiguration configuration;
    private final MessagesConfiguration messages;
    private final StartupConfiguration startup;
    private final StreamConfiguration streaming;
    private final ListenerGroup listeners = new ListenerGroup();
    private ClientConnectionTracker connections;
    private final Object shutdownLock = new Object();
    private boolean isShutDown;
    private boolean isStarted;
    private volatile boolean isShutdownRequested;
    private final StartupRetry startupRetry = new StartupRetry(() -> isShutdownRequested);
    private XnioWorker worker;
    private PlatformHandler front;
    private RequestProxy requestProxy;
    private DiscoveryClient discovery;

    /**
     * Broker: the second front's configuration, null if it is off. Start: what is remembered, and how it is believed.
     * Stream: when streams are given up.
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
    }

    public synchronized void start() throws IOException {
        LoadBalancerSettings settings = configuration.settings();
        worker = startupRetry.run("I/O thread", Server::createWorker);
        XnioIoThread thread = worker.getIoThread();
        EventLoopTimers timers = new EventLoopTimers(thread);
        connections = new ClientConnectionTracker(
                new ClientConnectionTracker.Limits(
                        maxClientConnections(configuration), CLIENT_IDLE_TIMEOUT_NANOS, REQUEST_HEAD_TIMEOUT_NANOS),
                timers);
        StreamRegistry streams = new StreamRegistry(streaming.timeouts());
        BackendPool backends = createBackends(thread, timers, streams);
        RestoredEndpoints restored = RestoredEndpoints.read(startup, configuration.initialEndpoints(), timers.now());
        SnapshotRecorder recorder = createSnapshotRecorder(thread, timers, restored);
        List<EndpointFilter> filters = createEndpointFilters(recorder, restored);
        EndpointPublisher publisher = new EndpointPublisher(settings, messagesApiKinds(), backends, timers);
        discovery = new DiscoveryClient(
                thread, timers, new Mailbox(thread, MAILBOX_CAPACITY), configuration.discoveryAddress(), publisher);
        // Where lists are pushed, it is to an agent on this machine, and the node has to ask that one.
        requestProxy = new RequestProxy(
                settings.withWatchedDiscovery(),
                configuration.seed(),
                (s, seed, sink) -> new EndpointFilterChain(filters, BoundedLoadBalancer::new, s, seed, sink),
                new Mailbox(thread, MAILBOX_CAPACITY),
                timers,
                backends,
                discovery);
        RequestBodyReader bodyReader = new RequestBodyReader(MAX_BUFFERED_BODY_BYTES);
        InFlightRequestIds requestIds = new InFlightRequestIds();
        front = new PlatformHandler(
                requestProxy,
                bodyReader,
                requestIds,
                settings,
                !messagesApiKinds().isEmpty());
        if (startup.isListTrusted()) {
            front.onEndpointsKnown();
        }
        publisher.connect(requestProxy, recorder, front::onEndpointsKnown);
        discovery.startFromCachedList(restored.endpointList());
        openFronts(bodyReader, requestIds, thread, timers);
        openAdmin(new AdminHandler(streams, backends::describeAddress), timers);
        startWatchdog(thread, timers);
        isStarted = true;
        LOG.info(configuration.name() + " serves on " + address(0)
                + (messages == null ? "" : ", teams on " + address(1)));
    }

    private void openFronts(
            RequestBodyReader bodyReader, InFlightRequestIds requestIds, XnioIoThread thread, EventLoopTimers timers)
            throws IOException {
        int connectionsPerListener = connections.maxAcceptedConnections() / (messages == null ? 1 : 2);
        listen(configuration.listenAddress(), front, connectionsPerListener, timers);
        if (messages != null) {
            listen(
                    messages.listenAddress(),
                    new BrokerHandler(
                            requestProxy,
                            bodyReader,
                            requestIds,
                            configuration.settings(),
                            messages.contracts(),
                            timers,
                            createRequestLog(thread, timers)),
                    connectionsPerListener,
                    timers);
        }
    }

    private void openAdmin(AdminHandler admin, EventLoopTimers timers) throws IOException {
        if (streaming.adminAddress() != null) {
            listen(streaming.adminAddress(), admin, MAX_ADMIN_CONNECTIONS, timers);
        }
        if (streaming.statisticsLogIntervalNanos() > 0) {
            admin.scheduleStatisticsLog(streaming.statisticsLogIntervalNanos(), timers);
        }
    }

    private List<EndpointFilter> createEndpointFilters(SnapshotRecorder recorder, RestoredEndpoints restored) {
        List<EndpointFilter> filters = new ArrayList<>(recorder == null ? List.of() : List.of(recorder));
        if (!startup.isListTrusted()) {
            filters.add(new RestoredEndpointFilter(
                    startup.restoreRules(), configuration.seed(), restored.lastHeardNanos(), LOG::info));
        }
        return filters;
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
    }

    private BackendPool createBackends(XnioIoThread thread, EventLoopTimers timers, StreamRegistry streams) {
        LoadBalancerSettings settings = configuration.settings();
        return new BackendPool(
                thread,
                timers,
                new BackendPool.Limits(
                        settings.connectionTimeouts().connectTimeoutNanos(),
                        settings.connectionTimeouts().idleTimeoutNanos(),
                        CONNECTION_REUSE_DELAY_NANOS,
                        HEALTH_CHECK_TIMEOUT_NANOS,
                        maxBackendConnections(configuration),
                        settings.loadReportFields()),
                streams);
    }

    private void startWatchdog(XnioIoThread thread, EventLoopTimers timers) {
        EventLoopWatchdog watchdog = new EventLoopWatchdog(thread, thread::getStackTrace, LOG::severe);
        Thread watchdogThread = new Thread(
                () -> {
                    try {
                        while (thread.isAlive()) {
                            watchdog.check(timers.now());
                            TimeUnit.NANOSECONDS.sleep(EventLoopWatchdog.CHECK_INTERVAL_NANOS);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (RejectedExecutionException e) {
                        LOG.fine("the I/O thread has ended");
                    }
                },
                "watchdog");
        watchdogThread.setDaemon(true);
        watchdogThread.start();
    }

    /** The actor that writes the list down, null if it is not to be. */
    private SnapshotRecorder createSnapshotRecorder(
            XnioIoThread thread, EventLoopTimers timers, RestoredEndpoints restored) {
        if (startup.snapshotFile() == null) {
            return null;
        }
        SnapshotRecorder recorder = new SnapshotRecorder(
                new Mailbox(thread, MAILBOX_CAPACITY),
                new Mailbox(worker, 1),
                timers,
                new SnapshotStore(startup.snapshotFile()),
                startup.snapshotPacing());
        if (restored.snapshot() != null) {
            recorder.restore(restored.snapshot());
        }
        return recorder;
    }

    /** Clients hold a third of the descriptors for requests at most, and each flow has one attempt out. */
    private static int maxBackendConnections(ServerConfiguration configuration) {
        return configuration.maxDescriptors() / 3;
    }

    /** All others but those of the process, for clients also keep connections on which they ask nothing. */
    private static int maxClientConnections(ServerConfiguration configuration) {
        return configuration.maxDescriptors() - maxBackendConnections(configuration) - RESERVED_DESCRIPTORS;
    }

    /** Where the platform's front (0), the broker's or the admin listener (in this order, if they are on) listens. */
    public InetSocketAddress address(int listenerIndex) {
        return listeners.addressAt(listenerIndex);
    }

    /** Flows that are not over, or whose attempt is still out. */
    public int openRequests() {
        return requestProxy.openRequests();
    }

    /**
     * Most: connections that are accepted here and still open. Those beyond wait in the kernel's queue until one has
     * closed.
     */
    private void listen(InetSocketAddress address, HttpHandler handler, int maxConnections, Timers timers)
            throws IOException {
        HttpOpenListener httpListener = new HttpOpenListener(
                new DefaultByteBufferPool(true, IO_BUFFER_BYTES, 256, 0),
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_REQUEST_HEAD_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_REQUEST_HEADERS)
                        .getMap());
        httpListener.setRootHandler(new ClientRequestHandler(connections, handler));
        Listener listener = startupRetry.run(
                address.toString(),
                () -> new Listener(
                        address,
                        new Listener.Limits(maxConnections, LISTEN_BACKLOG_CONNECTIONS, CLIENT_SEND_BUFFER_BYTES),
                        timers,
                        (connection, queuedNanos) -> connections.accept(connection, queuedNanos, httpListener)));
        listener.start(worker.getIoThread());
        listeners.add(listener);
    }

    private RequestLog createRequestLog(XnioIoThread thread, EventLoopTimers timers) throws IOException {
        MessagesConfiguration.SyslogConfiguration syslog = messages.syslog();
        if (syslog == null) {
            return RequestLog.disabled();
        }
        return new RequestLog(
                new SyslogFormatter(
                        syslog.facility(),
                        configuration.listenAddress().getHostString(),
                        "fawnlb",
                        Long.toString(ProcessHandle.current().pid())),
                new SyslogSender(
                        thread,
                        timers,
                        new Mailbox(thread, MAILBOX_CAPACITY),
                        syslog.collectorAddress(),
                        syslog.isTcp()));
    }

    private Set<String> messagesApiKinds() {
        return messages == null ? Set.of() : messages.messagesApiKinds();
    }

    /** SIGHUP: the list comes from where the new configuration says; all else stays as the node was started. */
    public synchronized void reload(ServerConfiguration newConfiguration) {
        discovery.changeAddress(newConfiguration.discoveryAddress());
    }

    /**
     * SIGTERM: takes what still comes for a moment, answers all that was taken, and ends. Whoever asks again waits for
     * it. A start that is under way comes to its end before, for it may have let clients in.
     */
    public void shutDownGracefully() {
        isShutdownRequested = true;
        synchronized (shutdownLock) {
            if (!isShutDown && isStarted()) {
                front.beginGracefulShutdown();
                connections.beginGracefulShutdown();
                requestProxy.beginGracefulShutdown();
                try {
                    Thread.sleep(ACCEPT_GRACE_PERIOD_MILLIS);
                    requestProxy.stopAdmitting();
                    listeners.closeGracefully(worker.getIoThread());
                    awaitInFlightRequests();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                LOG.info("ended; " + Metrics.summary());
                isShutDown = true;
            }
        }
    }

    private synchronized boolean isStarted() {
        return isStarted;
    }

    private void awaitInFlightRequests() throws InterruptedException {
        long startedAt = System.nanoTime();
        long nextLogNanos = DRAIN_LOG_INTERVAL_NANOS;
        for (int openConnections = closeIdleConnections();
                openConnections > 0 || requestProxy.openRequests() > 0;
                openConnections = closeIdleConnections()) {
            if (System.nanoTime() - startedAt > nextLogNanos) {
                LOG.info("ending: " + openConnections + " clients and " + requestProxy.openRequests()
                        + " flows are still being served");
                nextLogNanos += DRAIN_LOG_INTERVAL_NANOS;
            }
            Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
    }

    /** Idle connections close only now: while others are accepted, a client that is closed upon comes back at once. */
    private int closeIdleConnections() throws InterruptedException {
        return EventLoopCall.callAndWait(worker.getIoThread(), connections::closeIdleConnections);
    }

    /** Ends at once, whatever is being served. */
    public void stopNow() {
        listeners.closeNow();
        worker.shutdownNow();
    }
}
