package fawnlb.backend;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.dialect.Dialect;
import fawnlb.dialect.FirstEvent;
import fawnlb.dialect.Translation;
import fawnlb.flow.Backends;
import fawnlb.flow.Source;
import fawnlb.http.Connection;
import fawnlb.http.Response;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import fawnlb.stream.End;
import fawnlb.stream.Ending;
import fawnlb.stream.State;
import fawnlb.stream.Stream;
import fawnlb.stream.Streams;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/** One backend's actor: its connections and the attempts on them. */
final class Backend {
    private static final Logger LOG = Logger.getLogger(Backend.class.getName());
    /**
     * What is read of an answer that is not passed on, so that its connection can be used again: so many bytes for so
     * long.
     */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private static final long DISCARD = 250_000_000;

    /** An answer that is not streamed is kept until it is whole, and may be so long. */
    private static final int MAX_WHOLE_BYTES = 1 << 20;

    /**
     * A connect that fails for want of something on this machine is tried again so often, after so many nanoseconds.
     */
    private static final int MAX_LOCAL_FAILURES = 4;

    private static final long LOCAL_FAILURE_PAUSE = 50_000_000;

    /** What stands against sending a request that has been decided on. */
    private enum SendObstacle {
        NONE,
        BACKEND_LEFT,
        BACKEND_DRAINS,
        OUT_OF_TIME,
        REPEAT_WINDOW_OVER,
        NOT_WANTED
    }

    /** What a backend finds wrong with the request itself: it would with every backend, and the client can mend it. */
    private static final Set<Integer> CLIENT_FAULTS = Set.of(400, 404, 413, 422);

    private final long id;
    private final InetSocketAddress address;
    private final long since;
    private final Dialect dialect;
    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final BackendPool.Limits limits;
    private final BackendPool pool;
    private final Streams streams;
    private final IdleConnections idle;
    private boolean left;
    private boolean draining;

    Backend(
            long id,
            InetSocketAddress address,
            long since,
            Dialect dialect,
            XnioIoThread thread,
            Timers timers,
            Mailbox mailbox,
            BackendPool.Limits limits,
            BackendPool pool,
            Streams streams) {
        this.id = id;
        this.address = address;
        this.since = since;
        this.dialect = dialect;
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.limits = limits;
        this.pool = pool;
        this.streams = streams;
        this.idle = new IdleConnections(limits.rest(), limits.idle(), timers, pool::socketClosed);
    }

    boolean is(InetSocketAddress other, long started, Dialect speaks) {
        return address.equals(other) && since == started && dialect == speaks;
    }

    Dialect dialect() {
        return dialect;
    }

    /**
     * Gone from the list or moved: idle connections close, attempts that are out run on. An attempt may wait in the
     * mailbox before this; what is kept of the backend goes when that has ended too, and would stay if it went before
     * it began.
     */
    void leave() {
        mailbox.tellAlways(() -> {
            left = true;
            streams.gone(id);
            idle.closeAll();
        });
    }

    /** Whether it is to finish what it has and get nothing new, not even what still waits for its connection. */
    void drains(boolean now) {
        mailbox.tellAlways(() -> draining = now);
    }

    /** Prompt tokens and again: as {@link Streams#open} has them; the rest as {@link Backends#attempt}. */
    Backends.Attempt attempt(
            Parcel parcel, double promptTokens, long until, long sendBy, boolean again, Backends.Report report) {
        Running running = new Running(parcel, until, sendBy, report);
        boolean told = mailbox.tell(
                () -> {
                    running.open(promptTokens, again);
                    running.begin();
                },
                running::fail);
        if (!told) {
            report.ended(Ending.of(End.NOT_SENT), 0, List.of());
        }
        return end -> mailbox.tellOrFail(() -> running.leave(end), running::fail);
    }

    void probe(Backends.ProbeReport report) {
        Probe probe = new Probe(report);
        if (!mailbox.tell(probe::begin)) {
            report.probed(Outcome.NEVER_SENT, List.of());
        }
    }

    String host() {
        return address.getHostString() + ':' + address.getPort();
    }

    private void close(Connection connection) {
        connection.close();
        pool.socketClosed();
    }

    private void keep(Connection connection) {
        if (left) {
            close(connection);
            return;
        }
        idle.add(connection);
        timers.after(idle.limit(), () -> mailbox.tellAlways(idle::retire));
    }

    IdleConnections idle() {
        return idle;
    }

    /** One exchange with the backend, from finding a connection to its end. */
    private abstract class Exchange implements Connection.Call, Connection.Opened {
        Connection connection;
        boolean done;
        private int localFailures;

        void begin() {
            if (done) {
                return;
            }
            if (isPrevented()) {
                finish(End.NOT_SENT);
                return;
            }
            connection = idle.take();
            if (connection != null) {
                send();
            } else if (pool.socketFree()) {
                pool.socketOpened();
                Connection.open(thread, timers, address, limits.connect(), this);
            } else {
                // Our own shortage is no fault of the backend's.
                finish(End.NOT_SENT);
            }
        }

        @Override
        public void failedLocally(IOException cause) {
            pool.socketClosed();
            Metrics.count(Metric.LOCAL_CONNECT_FAILURES, "connect");
            if (++localFailures > MAX_LOCAL_FAILURES) {
                LOG.warning("no connection could be made to " + address + " for a reason of this machine: "
                        + cause.getMessage());
                finish(End.NOT_SENT);
            } else {
                timers.after(LOCAL_FAILURE_PAUSE, () -> mailbox.tellAlways(this::begin));
            }
        }

        @Override
        public void opened(Connection opened) {
            if (opened == null) {
                pool.socketClosed();
                finish(End.NOT_CONNECTED);
            } else if (done || isPrevented()) {
                keep(opened);
                finish(End.NOT_SENT);
            } else {
                connection = opened;
                send();
            }
        }

        private void send() {
            connection.send(this, request());
            sent();
        }

        /** Its request has been handed to the connection. */
        void sent() {}

        /** Made when it is written: what it tells of the time that is left must hold then. */
        abstract ByteBuffer[] request();

        @Override
        public void end(boolean reusable) {
            Connection used = connection;
            connection = null;
            if (reusable) {
                keep(used);
            } else {
                close(used);
            }
            whole();
        }

        @Override
        public void broken(Connection.Break how) {
            if (connection != null) {
                close(connection);
                connection = null;
            }
            finish(
                    switch (how) {
                        case NOT_WRITTEN -> End.NOT_CONNECTED;
                        case CLOSED -> End.BROKEN;
                        case UNREADABLE -> End.UNREADABLE;
                        case UNFINISHED_HEAD -> End.STALLED;
                    });
        }

        /** Ends it from our side; closing the connection is what calls the backend's work off. */
        void stop(End end) {
            if (!done && connection != null) {
                close(connection);
                connection = null;
            }
            finish(end);
        }

        void finish(End end) {
            if (!done) {
                done = true;
                ended(end);
            }
        }

        /** What stands against sending it, asked before its connection is looked for, and when it has come up. */
        SendObstacle obstacle() {
            return SendObstacle.NONE;
        }

        private boolean isPrevented() {
            SendObstacle obstacle = obstacle();
            if (obstacle != SendObstacle.NONE) {
                Metrics.count(Metric.SENDS_PREVENTED, obstacle);
            }
            return obstacle != SendObstacle.NONE;
        }

        abstract void whole();

        abstract void ended(End end);
    }

    private final class Running extends Exchange implements Source, Streams.Owner {
        private final Backends.Report report;
        private final Parcel parcel;
        private final long until;
        private final long sendBy;
        private Translation translation;
        private Translation witness;
        private final Tail tail = new Tail();
        private final FirstEvent opening = new FirstEvent();
        private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
        private Response head;
        private boolean streaming;
        private boolean objects;
        private boolean shown;
        private boolean complete;
        private long discarded;
        private Sink sink;
        private ByteBuffer first;
        private Stream stream;
        private Timers.Timer timer;
        private State timedFor;
        private Timers.Timer discard;

        Running(Parcel parcel, long until, long sendBy, Backends.Report report) {
            this.parcel = parcel;
            this.until = until;
            this.sendBy = sendBy;
            this.report = report;
        }

        void open(double promptTokens, boolean again) {
            stream = streams.open(timers.now(), id, promptTokens, until, again, parcel.stream(), this);
            arm();
        }

        @Override
        ByteBuffer[] request() {
            return parcel.request(dialect, host(), Math.max(0, until - timers.now()));
        }

        private void tell(Runnable message) {
            mailbox.tellOrFail(message, this::fail);
        }

        /** Something threw that nobody expected: the client is told, and the backend's work called off. */
        void fail() {
            stop(End.BROKEN);
            if (sink != null) {
                complete = false;
                sink.broken(stream.ending());
            }
        }

        @Override
        public void parked() {
            report.parked();
        }

        /** The silence of the backend or of the reader has lasted too long, or there is no room for the stream. */
        @Override
        public void end(End end) {
            boolean over = done;
            stop(end);
            if (over && sink != null) {
                // The backend's side is over; the client has yet to hear that its own is.
                complete = false;
                sink.broken(stream.ending());
            }
        }

        /** Nobody wants the answer any more, or can wait for it: one that is on its way is taken rather than cut. */
        void leave(End end) {
            if (!done && end == End.OUT_OF_TIME && opening.buffered() > 0) {
                // The next piece was asked for already, and must not come before this one is taken.
                connection.pause();
                deliver(opening.release());
                return;
            }
            stop(end);
            close();
        }

        private void close() {
            first = null;
            stream.close();
            unarm();
        }

        @Override
        public void closed() {
            tell(this::close);
        }

        @Override
        public void lags(int left) {
            tell(() -> {
                stream.lags(timers.now(), left);
                arm();
            });
        }

        /** One timer for a stream: it comes when it was first needed, and finds out when to come again. */
        private void arm() {
            if (timer != null && timedFor == stream.state()) {
                return;
            }
            unarm();
            long at = stream.wakeAt();
            if (at != Stream.NEVER) {
                timedFor = stream.state();
                timer = timers.after(
                        at - timers.now(),
                        () -> tell(() -> {
                            timer = null;
                            stream.wake(timers.now());
                            arm();
                        }));
            }
        }

        private void unarm() {
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        @Override
        public void head(Response response) {
            head = response;
            objects = CLIENT_FAULTS.contains(response.status());
            streaming = response.status() == 200 || objects;
            stream.head(timers.now(), streaming);
            if (streaming) {
                translation = dialect == parcel.dialect()
                        ? null
                        : objects
                                ? Translation.ofError(parcel.dialect(), response.status())
                                : new Translation(dialect, parcel.dialect(), parcel.stream());
                witness = translation != null || objects || !parcel.tally().counts()
                        ? null
                        : new Translation(dialect, dialect, parcel.stream());
                arm();
            } else {
                unarm();
                discard = timers.after(DISCARD, () -> tell(() -> stop(failure())));
            }
        }

        /**
         * Told with the first whole event for the client, not with the head or a part of it: a stream that is spoilt or
         * broken before that has shown the client nothing, and its flow may still go elsewhere.
         */
        private void show() {
            if (!shown) {
                shown = true;
                if (objects) {
                    parcel.tally().answers(head.status());
                    report.rejected(this);
                } else {
                    report.started(this);
                }
            }
        }

        /** The outcome of an answer that is none of the client's business. */
        private End failure() {
            // By the messages interface's word, 429 and 529 are answers to requests that were not taken.
            boolean notRun = head.header("x-not-run").equals("1")
                    || dialect == Dialect.MESSAGES && (head.status() == 429 || head.status() == 529);
            return notRun ? End.TURNED_AWAY : streaming ? End.CUT_SHORT : End.FAILED;
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (!streaming) {
                discarded += bytes.remaining();
                if (discarded > MAX_DISCARDED_BYTES) {
                    stop(failure());
                } else {
                    connection.more();
                }
                return;
            }
            try {
                tail.add(bytes);
                observe(bytes.duplicate());
                deliver(
                        translation != null
                                ? translation.feed(bytes)
                                : parcel.stream() && !objects ? opening.feed(bytes) : hold(bytes));
            } catch (IOException e) {
                stop(End.UNREADABLE);
            }
        }

        /** A whole answer is shown when it is whole: half of one under status 200 would pass for all of it. */
        private ByteBuffer hold(ByteBuffer bytes) throws IOException {
            if (held.size() + bytes.remaining() > MAX_WHOLE_BYTES) {
                throw new IOException("answer longer than " + MAX_WHOLE_BYTES + " bytes");
            }
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            held.writeBytes(piece);
            return bytes;
        }

        private void deliver(ByteBuffer bytes) {
            if (!bytes.hasRemaining()) {
                stream.sign(timers.now());
                stream.keeps(translation != null ? translation.buffered() : held.size() + opening.buffered());
                if (connection != null) {
                    arm();
                    connection.more();
                }
                return;
            }
            stream.piece(timers.now(), bytes.remaining());
            show();
            if (sink == null) {
                first = bytes;
            } else {
                sink.chunk(bytes);
            }
        }

        /** Reads along where nothing is translated; what it can't read, no client could. */
        private void observe(ByteBuffer bytes) throws IOException {
            if (witness != null) {
                witness.feed(bytes);
            }
        }

        @Override
        public void into(Sink to) {
            tell(() -> {
                sink = to;
                if (first != null) {
                    sink.chunk(first);
                    first = null;
                }
                if (done) {
                    tellEnd();
                }
            });
        }

        @Override
        public void more() {
            tell(() -> {
                stream.took(timers.now());
                if (connection != null) {
                    arm();
                    connection.more();
                }
            });
        }

        @Override
        SendObstacle obstacle() {
            if (left) {
                return SendObstacle.BACKEND_LEFT;
            }
            if (draining) {
                return SendObstacle.BACKEND_DRAINS;
            }
            if (timers.now() >= until) {
                return SendObstacle.OUT_OF_TIME;
            }
            if (timers.now() >= sendBy) {
                return SendObstacle.REPEAT_WINDOW_OVER;
            }
            return report.wanted() ? SendObstacle.NONE : SendObstacle.NOT_WANTED;
        }

        @Override
        void sent() {
            Invariant.NOT_SENT_TO_LEAVING_BACKEND.holds(
                    !left && !draining, this::name, left ? "it had left" : "it drains");
            Invariant.DEADLINE_TOLD_IN_TIME.holds(
                    timers.now() - Math.min(until, sendBy) < Backends.MAX_HELD_UP,
                    this::name,
                    "written after its time");
        }

        private String name() {
            return "request " + parcel.id() + " at " + address;
        }

        @Override
        void whole() {
            try {
                complete = streaming;
                if (translation != null) {
                    complete = false;
                    rest(translation.finish());
                    complete = true;
                } else if (held.size() > 0) {
                    if (witness != null) {
                        witness.finish();
                    }
                    rest(ByteBuffer.wrap(held.toByteArray()));
                } else if (streaming && shown && !objects && !tail.finished(dialect)) {
                    complete = false;
                }
            } catch (IOException e) {
                complete = false;
            }
            if (streaming && shown && !complete) {
                // The framing ended, the answer did not: it must not look finished.
                finish(End.CUT_SHORT);
                return;
            }
            if (objects) {
                show();
            }
            // A stream without a single event answers nothing, whole as it may be.
            finish(!shown ? failure() : objects ? End.REJECTED : End.WHOLE);
        }

        /** The last bytes of a translated answer; a sink that is not there yet gets them with its start. */
        private void rest(ByteBuffer bytes) {
            if (bytes.hasRemaining()) {
                stream.keeps(0);
                stream.piece(timers.now(), bytes.remaining());
                show();
            }
            if (bytes.hasRemaining() && sink != null) {
                sink.chunk(bytes);
            } else if (bytes.hasRemaining()) {
                first = bytes;
            }
        }

        @Override
        void ended(End end) {
            if (discard != null) {
                discard.cancel();
            }
            if (end == End.WHOLE || end == End.REJECTED) {
                stream.last(end);
            } else {
                stream.over(end);
            }
            unarm();
            arm();
            Translation read = translation != null ? translation : witness;
            if (streaming) {
                parcel.tally()
                        .note(
                                dialect,
                                read == null ? 0 : read.skipped(),
                                read == null ? 0 : read.tokens(),
                                parcel.tally().counts() && tail.finished(dialect));
            }
            String load = head == null ? "" : tail.load().isEmpty() ? head.header("x-load") : tail.load();
            Ending ending = stream.ending();
            Metrics.count(Metric.ATTEMPTS, ending.word());
            LOG.fine(() -> parcel.id() + " at " + address + ": " + ending.word());
            report.ended(ending, tail.kept(), LoadReport.parse(load, limits.reportFields()));
            if (sink != null) {
                tellEnd();
            }
        }

        private void tellEnd() {
            if (complete) {
                sink.end();
            } else {
                sink.broken(stream.ending());
            }
        }
    }

    private final class Probe extends Exchange {
        private final Backends.ProbeReport report;
        private List<Double> load = List.of();
        private Response head;

        Probe(Backends.ProbeReport report) {
            this.report = report;
            timers.after(limits.probe(), () -> mailbox.tellAlways(() -> stop(End.OUT_OF_TIME)));
        }

        @Override
        ByteBuffer[] request() {
            return new ByteBuffer[] {
                ByteBuffer.wrap(
                        ("GET /stats HTTP/1.1\r\nHost: " + host() + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1))
            };
        }

        @Override
        public void head(Response response) {
            head = response;
            load = LoadReport.parse(response.header("x-load"), limits.reportFields());
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (load.isEmpty()) {
                load = LoadReport.parse(StandardCharsets.UTF_8.decode(bytes).toString(), limits.reportFields());
            }
            connection.more();
        }

        @Override
        void whole() {
            finish(head.status() == 200 ? End.WHOLE : End.TURNED_AWAY);
        }

        @Override
        void ended(End end) {
            report.probed(end.outcome(), load);
        }
    }
}
