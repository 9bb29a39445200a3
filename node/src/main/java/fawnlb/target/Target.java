package fawnlb.target;

import fawnlb.decision.Balancer.Outcome;
import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.dialect.Dialect;
import fawnlb.dialect.Translation;
import fawnlb.flow.Source;
import fawnlb.flow.Targets;
import fawnlb.http.Connection;
import fawnlb.http.Response;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.xnio.XnioIoThread;

/** One target's actor: its connections and the forwards on them. */
final class Target {
    /** An idle connection is retired at this part of the time after which the target itself may close it: a
     *  request written to one that is just being closed would count as a reset. */
    private static final double RETIRE = 0.85;

    /** What is read of an answer that is not passed on, so that its connection can be used again: so many bytes
     *  for so long. */
    private static final int MOST_DISCARDED = 64 * 1024;
    private static final long DISCARD = 250_000_000;

    /** An answer that is not streamed is kept until it is whole, and may be so long. */
    private static final int LONGEST_WHOLE = 1 << 20;

    /** What a target finds wrong with the request itself: it would with every target, and the client can mend it. */
    private static final Set<Integer> CLIENT_FAULTS = Set.of(400, 404, 413, 422);

    private final InetSocketAddress address;
    private final long since;
    private final Dialect dialect;
    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final TargetPool.Limits limits;
    private final TargetPool pool;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private boolean left;

    private record Idle(Connection connection, long since) { }

    Target(InetSocketAddress address, long since, Dialect dialect, XnioIoThread thread, Timers timers, Mailbox mailbox,
           TargetPool.Limits limits, TargetPool pool) {
        this.address = address;
        this.since = since;
        this.dialect = dialect;
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.limits = limits;
        this.pool = pool;
    }

    boolean is(InetSocketAddress other, long started, Dialect speaks) {
        return address.equals(other) && since == started && dialect == speaks;
    }

    Dialect dialect() {
        return dialect;
    }

    /** Gone from the list or moved: idle connections close, forwards that are out run on. */
    void leave() {
        mailbox.tell(() -> {
            left = true;
            while (!idle.isEmpty()) {
                close(idle.poll().connection());
            }
        });
    }

    Targets.Forward forward(Parcel parcel, long patience, Targets.Report report) {
        Running running = new Running(parcel, patience, report);
        if (!mailbox.tell(running::begin)) {
            report.ended(Outcome.NEVER_SENT, 0, List.of());
        }
        return outcome -> mailbox.tell(() -> running.stop(outcome));
    }

    void probe(Targets.ProbeReport report) {
        ByteBuffer request = ByteBuffer.wrap(("GET /stats HTTP/1.1\r\nHost: " + host() + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        Probe probe = new Probe(request, report);
        if (!mailbox.tell(probe::begin)) {
            report.probed(Outcome.NEVER_SENT, List.of());
        }
    }

    private String host() {
        return address.getHostString() + ':' + address.getPort();
    }

    private void close(Connection connection) {
        connection.close();
        pool.socketClosed();
    }

    private Connection idleConnection() {
        retire();
        while (!idle.isEmpty()) {
            Connection connection = idle.pollLast().connection();
            if (connection.isUsable()) {
                return connection;
            }
            pool.socketClosed();
        }
        return null;
    }

    private void keep(Connection connection) {
        if (left) {
            close(connection);
            return;
        }
        idle.addLast(new Idle(connection, timers.now()));
        timers.after((long) (limits.idle() * RETIRE), () -> mailbox.tell(this::retire));
    }

    boolean hasIdle() {
        return !idle.isEmpty();
    }

    long idleSince() {
        return idle.peek().since();
    }

    void closeOldestIdle() {
        close(idle.poll().connection());
    }

    private void retire() {
        while (!idle.isEmpty() && (!idle.peek().connection().isOpen()
                || timers.now() - idle.peek().since() >= (long) (limits.idle() * RETIRE))) {
            close(idle.poll().connection());
        }
    }

    /** One exchange with the target, from finding a connection to its end. */
    private abstract class Exchange implements Connection.Call {
        private ByteBuffer request;
        Connection connection;
        boolean done;

        Exchange(ByteBuffer request) {
            this.request = request;
        }

        void begin() {
            if (done) {
                return;
            }
            connection = idleConnection();
            if (connection != null) {
                send();
            } else if (pool.socketFree()) {
                pool.socketOpened();
                Connection.open(thread, timers, address, limits.connect(), this::opened);
            } else {
                // Our own shortage is no fault of the target's.
                finish(Outcome.NEVER_SENT);
            }
        }

        private void opened(Connection opened) {
            if (opened == null) {
                pool.socketClosed();
                finish(Outcome.CONNECT_FAILED);
            } else if (done) {
                keep(opened);
            } else {
                connection = opened;
                send();
            }
        }

        private void send() {
            ByteBuffer bytes = request;
            // A stream may run for long; its request need not stay in memory.
            request = null;
            connection.send(bytes, this);
        }

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
        public void broken(boolean written) {
            close(connection);
            connection = null;
            finish(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        /** Ends it from our side; closing the connection is what calls the target's work off. */
        void stop(Outcome outcome) {
            if (!done && connection != null) {
                close(connection);
                connection = null;
            }
            finish(outcome);
        }

        void finish(Outcome outcome) {
            if (!done) {
                done = true;
                ended(outcome);
            }
        }

        abstract void whole();

        abstract void ended(Outcome outcome);
    }

    private final class Running extends Exchange implements Source {
        private final Targets.Report report;
        private final Parcel parcel;
        private Translation translation;
        private Translation witness;
        private final Tail tail = new Tail();
        private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
        private Response head;
        private boolean streaming;
        private boolean objects;
        private boolean shown;
        private boolean complete;
        private long discarded;
        private Sink sink;
        private ByteBuffer first;
        private Timers.Timer watchdog;

        Running(Parcel parcel, long patience, Targets.Report report) {
            super(parcel.request(dialect, host(), patience));
            this.parcel = parcel;
            this.report = report;
        }

        @Override
        public void head(Response response) {
            head = response;
            objects = CLIENT_FAULTS.contains(response.status());
            streaming = response.status() == 200 || objects;
            if (streaming) {
                translation = dialect == parcel.dialect() ? null : objects
                        ? Translation.ofError(parcel.dialect(), response.status())
                        : new Translation(dialect, parcel.dialect(), parcel.stream());
                witness = translation != null || objects || !parcel.tally().counts() ? null
                        : new Translation(dialect, dialect, parcel.stream());
                if (objects) {
                    parcel.tally().answers(response.status());
                }
                watch();
            } else {
                watchdog = timers.after(DISCARD, () -> mailbox.tell(() -> stop(failure())));
            }
        }

        /**
         * Told with the first bytes for the client, not with the head: a stream that is spoilt before them has
         * shown the client nothing, and its flow may still go elsewhere.
         */
        private void show() {
            if (!shown) {
                shown = true;
                if (objects) {
                    report.rejected(this);
                } else {
                    report.started(this);
                }
            }
        }

        /** The outcome of an answer that is none of the client's business. */
        private Outcome failure() {
            // By the messages interface's word, 429 and 529 are answers to requests that were not taken.
            boolean notRun = head.header("x-not-run").equals("1")
                    || dialect == Dialect.MESSAGES && (head.status() == 429 || head.status() == 529);
            return notRun ? Outcome.FULL : Outcome.ERROR;
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (!streaming) {
                discarded += bytes.remaining();
                if (discarded > MOST_DISCARDED) {
                    stop(failure());
                } else {
                    connection.more();
                }
                return;
            }
            try {
                tail.add(bytes);
                observe(bytes.duplicate());
                deliver(translation != null ? translation.feed(bytes) : parcel.stream() || objects ? bytes : hold(bytes));
            } catch (IOException e) {
                stop(Outcome.RESET);
            }
        }

        /** A whole answer is shown when it is whole: half of one under status 200 would pass for all of it. */
        private ByteBuffer hold(ByteBuffer bytes) throws IOException {
            if (held.size() + bytes.remaining() > LONGEST_WHOLE) {
                throw new IOException("answer longer than " + LONGEST_WHOLE + " bytes");
            }
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            held.writeBytes(piece);
            return bytes;
        }

        private void deliver(ByteBuffer bytes) {
            if (!bytes.hasRemaining()) {
                watch();
                connection.more();
                return;
            }
            show();
            unwatch();
            if (sink == null) {
                first = bytes;
            } else {
                sink.chunk(bytes);
            }
        }

        /** Reads along where nothing is translated; what it can't read is no fault of the stream's. */
        private void observe(ByteBuffer bytes) {
            try {
                if (witness != null) {
                    witness.feed(bytes);
                }
            } catch (IOException e) {
                witness = null;
            }
        }

        @Override
        public void into(Sink to) {
            mailbox.tell(() -> {
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
            mailbox.tell(() -> {
                if (connection != null) {
                    watch();
                    connection.more();
                }
            });
        }

        /**
         * A target that vanished or was cut off says nothing: its stream stays open and silent, and the
         * client would wait for ever. Time counts only while the client is ready for more.
         */
        private void watch() {
            unwatch();
            watchdog = timers.after(limits.silence(), () -> mailbox.tell(() -> stop(Outcome.RESET)));
        }

        private void unwatch() {
            if (watchdog != null) {
                watchdog.cancel();
            }
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
                    rest(ByteBuffer.wrap(held.toByteArray()));
                }
            } catch (IOException e) {
                // The framing ended, the answer did not: it must not look finished.
                finish(Outcome.RESET);
                return;
            }
            if (witness != null && !parcel.stream()) {
                finishWitness();
            }
            if (objects) {
                show();
            }
            // A stream without a single event answers nothing, whole as it may be.
            finish(shown ? Outcome.SERVED : failure());
        }

        private void finishWitness() {
            try {
                witness.finish();
            } catch (IOException e) {
                witness = null;
            }
        }

        /** The last bytes of a translated answer; a sink that is not there yet gets them with its start. */
        private void rest(ByteBuffer bytes) {
            if (bytes.hasRemaining()) {
                show();
            }
            if (bytes.hasRemaining() && sink != null) {
                sink.chunk(bytes);
            } else if (bytes.hasRemaining()) {
                first = bytes;
            }
        }

        @Override
        void ended(Outcome outcome) {
            unwatch();
            Translation read = translation != null ? translation : witness;
            if (streaming) {
                parcel.tally().note(dialect, read == null ? 0 : read.skipped(), read == null ? 0 : read.tokens());
            }
            String load = head == null ? "" : tail.load().isEmpty() ? head.header("x-load") : tail.load();
            report.ended(outcome, tail.kept(), LoadReport.parse(load, limits.reportFields()));
            if (sink != null) {
                tellEnd();
            }
        }

        private void tellEnd() {
            if (complete) {
                sink.end();
            } else {
                sink.broken();
            }
        }
    }

    private final class Probe extends Exchange {
        private final Targets.ProbeReport report;
        private List<Double> load = List.of();
        private Response head;

        Probe(ByteBuffer request, Targets.ProbeReport report) {
            super(request);
            this.report = report;
            timers.after(limits.probe(), () -> mailbox.tell(() -> stop(Outcome.TIMEOUT)));
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
            finish(head.status() == 200 ? Outcome.SERVED : Outcome.FULL);
        }

        @Override
        void ended(Outcome outcome) {
            report.probed(outcome, load);
        }
    }
}
