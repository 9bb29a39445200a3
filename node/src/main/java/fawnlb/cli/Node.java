package fawnlb.cli;

import fawnlb.actor.IoTimers;
import fawnlb.actor.IoTurn;
import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.actor.Watchdog;
import fawnlb.admin.AdminFront;
import fawnlb.backend.BackendPool;
import fawnlb.client.ClientExchange;
import fawnlb.client.Connections;
import fawnlb.client.Listener;
import fawnlb.client.Listeners;
import fawnlb.client.OpenIds;
import fawnlb.client.Replies;
import fawnlb.config.BrokerConfig;
import fawnlb.config.NodeConfig;
import fawnlb.config.StartConfig;
import fawnlb.config.StreamConfig;
import fawnlb.decision.Balancer.Settings;
import fawnlb.discovery.Discovery;
import fawnlb.flow.Flows;
import fawnlb.http.BodyReader;
import fawnlb.http.Heads;
import fawnlb.messages.FlowLog;
import fawnlb.messages.MessagesFront;
import fawnlb.metrics.Metrics;
import fawnlb.platform.PlatformFront;
import fawnlb.policy.Choice;
import fawnlb.probation.Probation;
import fawnlb.snapshot.Recorder;
import fawnlb.snapshot.SnapshotStore;
import fawnlb.stream.Streams;
import fawnlb.syslog.SyslogRecord;
import fawnlb.syslog.SyslogSender;
import fawnlb.view.View;
import fawnlb.view.Views;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.StatusCodes;
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
final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final long SECOND = 1_000_000_000L;
    private static final long PROBE = SECOND / 2;
    /**
     * A second answer comes some milliseconds late, says the operators' page; ten times as long is still little to
     * wait.
     */
    static final long REST = SECOND / 20;
    /** New connections keep coming for up to 0.4 s after SIGTERM. */
    private static final long STILL_ACCEPTED_MS = 600;
    /** A planned end looks so often at what is left. */
    private static final long TURN_MS = 20;
    /** How often a planned end says what it waits for. */
    private static final long STILL_SERVING = 5 * SECOND;

    private static final int MAILBOX = 8192;
    private static final int BUFFER = 8192;
    /**
     * A client's head may be so long and have so many headers, and takes so long at most. One of 62 headers was
     * measured to hold 22 KB of the heap while it is read, and 30 KB with 16 KiB; 635 clients, as many as 1,024
     * descriptors leave, can hold 14 MB with them at a time.
     */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    private static final int MAX_HEADERS = 64;
    private static final long HEAD = 2 * SECOND;
    /** A connection without a request may be closed after 2 s, and one that stays silent must be within 3 s. */
    private static final long IDLE = 2300 * SECOND / 1000;

    private static final int BACKLOG = 1000;
    /**
     * Bodies may hold so much, and a quarter of the heap at most: heads, streams and what stays for good need the rest.
     */
    private static final long BODIES = Math.min(16L << 20, Runtime.getRuntime().maxMemory() / 4);
    /** Linux would hold megabytes for a client that does not read, and hide from the node that it does not. */
    private static final int SEND_BUFFER = 64 * 1024;
    /**
     * Descriptors for all else: 22 of the process (jars, selectors, log), 6 of listeners, syslog and snapshot, 4 of the
     * list and a configuration that is read again, 12 connections kept only to be refused, 4 of operators.
     */
    private static final int RESERVED = 48;

    private static final int OPERATORS = 4;
    private static final Replies.Reply NO_ROOM = new Replies.Reply(
            StatusCodes.SERVICE_UNAVAILABLE, "text/plain", "no room for more connections; try again later\n");

    private final NodeConfig config;
    private final BrokerConfig broker;
    private final StartConfig start;
    private final StreamConfig stream;
    private final Listeners listeners = new Listeners();
    private Connections connections;
    private final Object ending = new Object();
    private boolean ended;
    private boolean started;
    private volatile boolean toldToEnd;
    private final StartRetry retry = new StartRetry(() -> toldToEnd);
    private XnioWorker worker;
    private PlatformFront front;
    private Flows flows;
    private Discovery discovery;

    /**
     * Broker: the second front's configuration, null if it is off. Start: what is remembered, and how it is believed.
     * Stream: when streams are given up.
     */
    Node(NodeConfig config, BrokerConfig broker, StartConfig start, StreamConfig stream) {
        this.config = config;
        this.broker = broker;
        this.start = start;
        this.stream = stream;
    }

    synchronized void start() throws IOException {
        Settings settings = config.settings();
        worker = retry.take("I/O thread", Node::createWorker);
        XnioIoThread thread = worker.getIoThread();
        IoTimers timers = new IoTimers(thread);
        connections = new Connections(new Connections.Limits(clientShare(config), IDLE, HEAD), timers);
        Streams streams = new Streams(stream.rules());
        BackendPool backends = createBackends(thread, timers, streams);
        Remembered remembered = Remembered.read(start, config.known(), timers.now());
        Recorder recorder = recorder(thread, timers, remembered);
        List<View> views = views(recorder, remembered);
        MembershipFeed feed = new MembershipFeed(settings, messageKinds(), backends, timers);
        discovery = new Discovery(thread, timers, new Mailbox(thread, MAILBOX), config.discovery(), feed);
        // Where lists are pushed, it is to an agent on this machine, and the node has to ask that one.
        flows = new Flows(
                settings.asked(),
                config.seed(),
                (s, seed, sink) -> new Views(views, Choice::new, s, seed, sink),
                new Mailbox(thread, MAILBOX),
                timers,
                backends,
                discovery);
        BodyReader bodies = new BodyReader(BODIES);
        OpenIds ids = new OpenIds();
        front = new PlatformFront(flows, bodies, ids, settings, !messageKinds().isEmpty());
        if (start.believed()) {
            front.heard();
        }
        feed.begin(flows, recorder, front::heard);
        discovery.known(remembered.list());
        openFronts(bodies, ids, thread, timers);
        openAdmin(new AdminFront(streams, backends::address), timers);
        watch(thread, timers);
        started = true;
        LOG.info(config.name() + " serves on " + address(0) + (broker == null ? "" : ", teams on " + address(1)));
    }

    private void openFronts(BodyReader bodies, OpenIds ids, XnioIoThread thread, IoTimers timers) throws IOException {
        int each = connections.mostAccepted() / (broker == null ? 1 : 2);
        listen(config.listen(), front, each, timers);
        if (broker != null) {
            listen(
                    broker.listen(),
                    new MessagesFront(
                            flows, bodies, ids, config.settings(), broker.contracts(), timers, flowLog(thread, timers)),
                    each,
                    timers);
        }
    }

    private void openAdmin(AdminFront admin, IoTimers timers) throws IOException {
        if (stream.admin() != null) {
            listen(stream.admin(), admin, OPERATORS, timers);
        }
        if (stream.figuresEvery() > 0) {
            admin.logEvery(stream.figuresEvery(), timers);
        }
    }

    private List<View> views(Recorder recorder, Remembered remembered) {
        List<View> views = new ArrayList<>(recorder == null ? List.of() : List.of(recorder));
        if (!start.believed()) {
            views.add(new Probation(start.probation(), config.seed(), remembered.heard(), LOG::info));
        }
        return views;
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

    private BackendPool createBackends(XnioIoThread thread, IoTimers timers, Streams streams) {
        Settings settings = config.settings();
        return new BackendPool(
                thread,
                timers,
                new BackendPool.Limits(
                        settings.connections().timeout(),
                        settings.connections().idle(),
                        REST,
                        PROBE,
                        backendShare(config),
                        settings.reportFields()),
                streams);
    }

    private void watch(XnioIoThread thread, IoTimers timers) {
        Watchdog watchdog = new Watchdog(thread, thread::getStackTrace, LOG::severe);
        Thread looking = new Thread(
                () -> {
                    try {
                        while (thread.isAlive()) {
                            watchdog.look(timers.now());
                            TimeUnit.NANOSECONDS.sleep(Watchdog.PACE);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (RejectedExecutionException e) {
                        LOG.fine("the I/O thread has ended");
                    }
                },
                "watchdog");
        looking.setDaemon(true);
        looking.start();
    }

    /** The actor that writes the list down, null if it is not to be. */
    private Recorder recorder(XnioIoThread thread, IoTimers timers, Remembered remembered) {
        if (start.snapshot() == null) {
            return null;
        }
        Recorder recorder = new Recorder(
                new Mailbox(thread, MAILBOX),
                new Mailbox(worker, 1),
                timers,
                new SnapshotStore(start.snapshot()),
                start.pace());
        if (remembered.snapshot() != null) {
            recorder.remembers(remembered.snapshot());
        }
        return recorder;
    }

    /** Clients hold a third of the descriptors for requests at most, and each flow has one attempt out. */
    private static int backendShare(NodeConfig config) {
        return config.sockets() / 3;
    }

    /** All others but those of the process, for clients also keep connections on which they ask nothing. */
    private static int clientShare(NodeConfig config) {
        return config.sockets() - backendShare(config) - RESERVED;
    }

    /** Where the platform's front (0), the broker's or the admin listener (in this order, if they are on) listens. */
    InetSocketAddress address(int which) {
        return listeners.address(which);
    }

    /** Flows that are not over, or whose attempt is still out. */
    int open() {
        return flows.open();
    }

    /**
     * Most: connections that are accepted here and still open. Those beyond wait in the kernel's queue until one has
     * closed.
     */
    private void listen(InetSocketAddress address, HttpHandler handler, int most, Timers timers) throws IOException {
        HttpOpenListener reader = new HttpOpenListener(
                new DefaultByteBufferPool(true, BUFFER, 256, 0),
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .getMap());
        reader.setRootHandler(exchange -> {
            String fault = Heads.fault(exchange);
            if (fault != null) {
                exchange.setPersistent(false);
                ClientExchange.write(
                        exchange, new Replies.Reply(StatusCodes.BAD_REQUEST, "text/plain", fault + "\n"), 0);
            } else if (connections.serving(exchange)) {
                handler.handleRequest(exchange);
            } else {
                ClientExchange.write(exchange, NO_ROOM, SECOND);
            }
        });
        Listener listener = retry.take(
                address.toString(),
                () -> new Listener(
                        address,
                        new Listener.Limits(most, BACKLOG, SEND_BUFFER),
                        timers,
                        (connection, waited) -> connections.accept(connection, waited, reader)));
        listener.start(worker.getIoThread());
        listeners.add(listener);
    }

    private FlowLog flowLog(XnioIoThread thread, IoTimers timers) throws IOException {
        BrokerConfig.Syslog syslog = broker.syslog();
        if (syslog == null) {
            return new FlowLog(null, null);
        }
        return new FlowLog(
                new SyslogRecord(
                        syslog.facility(),
                        config.listen().getHostString(),
                        "fawnlb",
                        Long.toString(ProcessHandle.current().pid())),
                new SyslogSender(thread, timers, new Mailbox(thread, MAILBOX), syslog.collector(), syslog.tcp()));
    }

    private Set<String> messageKinds() {
        return broker == null ? Set.of() : broker.messageKinds();
    }

    /** SIGHUP: the list comes from where the new configuration says; all else stays as the node was started. */
    synchronized void reload(NodeConfig read) {
        discovery.move(read.discovery());
    }

    /**
     * SIGTERM: takes what still comes for a moment, answers all that was taken, and ends. Whoever asks again waits for
     * it. A start that is under way comes to its end before, for it may have let clients in.
     */
    void drain() {
        toldToEnd = true;
        synchronized (ending) {
            if (!ended && started()) {
                front.drain();
                connections.drain();
                flows.beginPlannedEnd();
                try {
                    Thread.sleep(STILL_ACCEPTED_MS);
                    flows.takeNoMore();
                    listeners.close(worker.getIoThread());
                    awaitAnswers();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                LOG.info("ended; " + Metrics.summary());
                ended = true;
            }
        }
    }

    private synchronized boolean started() {
        return started;
    }

    private void awaitAnswers() throws InterruptedException {
        long began = System.nanoTime();
        long next = STILL_SERVING;
        for (int left = closeIdle(); left > 0 || flows.open() > 0; left = closeIdle()) {
            if (System.nanoTime() - began > next) {
                LOG.info("ending: " + left + " clients and " + flows.open() + " flows are still being served");
                next += STILL_SERVING;
            }
            Thread.sleep(TURN_MS);
        }
    }

    /** Idle connections close only now: while others are accepted, a client that is closed upon comes back at once. */
    private int closeIdle() throws InterruptedException {
        return IoTurn.take(worker.getIoThread(), connections::closeIdle);
    }

    /** Ends at once, whatever is being served. */
    void stop() {
        listeners.closeNow();
        worker.shutdownNow();
    }
}
