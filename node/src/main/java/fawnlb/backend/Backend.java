package fawnlb.backend;

import fawnlb.decision.AttemptOutcome;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import fawnlb.http.ResponseHead;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import fawnlb.proxy.Backends;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import fawnlb.stream.ResponseStream;
import fawnlb.stream.StreamRegistry;
import fawnlb.stream.StreamState;
import fawnlb.translation.Dialect;
import fawnlb.translation.FirstEventBuffer;
import fawnlb.translation.ResponseTranslator;
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

    private static final long DISCARD_TIMEOUT_NANOS = 250_000_000;

    /** An answer that is not streamed is kept until it is whole, and may be so long. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 1 << 20;

    /**
     * A connect that fails for want of something on this machine is tried again so often, after so many nanoseconds.
     */
    private static final int MAX_LOCAL_CONNECT_FAILURES = 4;

    private static final long LOCAL_FAILURE_RETRY_DELAY_NANOS = 50_000_000;

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
    private static final Set<Integer> CLIENT_ERROR_STATUSES = Set.of(400, 404, 413, 422);

    private final long id;
    private final InetSocketAddress address;
    private final long startedAtNanos;
    private final Dialect dialect;
    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final BackendPool.Limits limits;
    private final BackendPool pool;
    private final StreamRegistry streams;
    private final IdleConnections idleConnections;
    private boolean removed;
    private boolean draining;

    Backend(
            long id,
            InetSocketAddress address,
            long startedAtNanos,
            Dialect dialect,
            XnioIoThread thread,
            Timers timers,
            Mailbox mailbox,
            BackendPool.Limits limits,
            BackendPool pool,
            StreamRegistry streams) {
        this.id = id;
        this.address = address;
        this.startedAtNanos = startedAtNanos;
        this.dialect = dialect;
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.limits = limits;
        this.pool = pool;
        this.streams = streams;
        this.idleConnections = new IdleConnections(
                limits.minRestNanos(), limits.backendIdleTimeoutNanos(), timers, pool::onSocketClosed);
    }

    boolean matches(InetSocketAddress otherAddress, long otherStartedAtNanos, Dialect otherDialect) {
        return address.equals(otherAddress) && startedAtNanos == otherStartedAtNanos && dialect == otherDialect;
    }

    Dialect dialect() {
        return dialect;
    }

    /**
     * Gone from the list or moved: idle connections close, attempts that are out run on. An attempt may wait in the
     * mailbox before this; what is kept of the backend goes when that has ended too, and would stay if it went before
     * it began.
     */
    void remove() {
        mailbox.tellAlways(() -> {
            removed = true;
            streams.onBackendRemoved(id);
            idleConnections.closeAll();
        });
    }

    /** Whether it is to finish what it has and get nothing new, not even what still waits for its connection. */
    void setDraining(boolean isDraining) {
        mailbox.tellAlways(() -> draining = isDraining);
    }

    /** Prompt tokens and again: as {@link StreamRegistry#open} has them; the rest as {@link Backends#startAttempt}. */
    Backends.Attempt startAttempt(
            OutboundRequest request,
            double promptTokens,
            long responseDeadlineNanos,
            long sendDeadlineNanos,
            boolean canRetry,
            Backends.AttemptListener report) {
        AttemptExchange exchange = new AttemptExchange(request, responseDeadlineNanos, sendDeadlineNanos, report);
        boolean accepted = mailbox.tell(
                () -> {
                    exchange.openStream(promptTokens, canRetry);
                    exchange.start();
                },
                exchange::onInternalError);
        if (!accepted) {
            report.onAttemptEnded(AttemptEnd.of(EndReason.NOT_SENT), 0, List.of());
        }
        return reason -> mailbox.tellOrFail(() -> exchange.cancel(reason), exchange::onInternalError);
    }

    void checkHealth(Backends.HealthCheckListener report) {
        HealthCheckExchange exchange = new HealthCheckExchange(report);
        if (!mailbox.tell(exchange::start)) {
            report.onHealthChecked(AttemptOutcome.NEVER_SENT, List.of());
        }
    }

    String hostAndPort() {
        return address.getHostString() + ':' + address.getPort();
    }

    private void closeConnection(HttpClientConnection connection) {
        connection.close();
        pool.onSocketClosed();
    }

    private void returnToIdle(HttpClientConnection connection) {
        if (removed) {
            closeConnection(connection);
            return;
        }
        idleConnections.add(connection);
        timers.schedule(idleConnections.retireAfterNanos(), () -> mailbox.tellAlways(idleConnections::closeExpired));
    }

    IdleConnections idleConnections() {
        return idleConnections;
    }

    /** One exchange with the backend, from finding a connection to its end. */
    private abstract class BackendExchange
            implements HttpClientConnection.ResponseHandler, HttpClientConnection.ConnectHandler {
        HttpClientConnection connection;
        boolean finished;
        private int localConnectFailures;

        void start() {
            if (finished) {
                return;
            }
            if (isSendPrevented()) {
                finish(EndReason.NOT_SENT);
                return;
            }
            connection = idleConnections.take();
            if (connection != null) {
                sendRequest();
            } else if (pool.makeRoomForSocket()) {
                pool.onSocketOpened();
                HttpClientConnection.connect(thread, timers, address, limits.connectTimeoutNanos(), this);
            } else {
                // Our own shortage is no fault of the backend's.
                finish(EndReason.NOT_SENT);
            }
        }

        @Override
        public void onLocalFailure(IOException cause) {
            pool.onSocketClosed();
            Metrics.increment(Metric.LOCAL_CONNECT_FAILURES, "connect");
            if (++localConnectFailures > MAX_LOCAL_CONNECT_FAILURES) {
                LOG.warning("no connection could be made to " + address + " for a reason of this machine: "
                        + cause.getMessage());
                finish(EndReason.NOT_SENT);
            } else {
                timers.schedule(LOCAL_FAILURE_RETRY_DELAY_NANOS, () -> mailbox.tellAlways(this::start));
            }
        }

        @Override
        public void onConnected(HttpClientConnection opened) {
            if (opened == null) {
                pool.onSocketClosed();
                finish(EndReason.CONNECT_FAILED);
            } else if (finished || isSendPrevented()) {
                returnToIdle(opened);
                finish(EndReason.NOT_SENT);
            } else {
                connection = opened;
                sendRequest();
            }
        }

        private void sendRequest() {
            connection.send(this, encodeRequest());
            onRequestSent();
        }

        /** Its request has been handed to the connection. */
        void onRequestSent() {}

        /** Made when it is written: what it tells of the time that is left must hold then. */
        abstract ByteBuffer[] encodeRequest();

        @Override
        public void onComplete(boolean reusable) {
            HttpClientConnection used = connection;
            connection = null;
            if (reusable) {
                returnToIdle(used);
            } else {
                closeConnection(used);
            }
            onResponseComplete();
        }

        @Override
        public void onFailure(HttpClientConnection.CallFailure how) {
            if (connection != null) {
                closeConnection(connection);
                connection = null;
            }
            finish(
                    switch (how) {
                        case REQUEST_NOT_WRITTEN -> EndReason.CONNECT_FAILED;
                        case CONNECTION_CLOSED -> EndReason.CONNECTION_LOST;
                        case MALFORMED_RESPONSE -> EndReason.MALFORMED;
                        case HEAD_TIMEOUT -> EndReason.STALLED;
                    });
        }

        /** Ends it from our side; closing the connection is what calls the backend's work off. */
        void abort(EndReason reason) {
            if (!finished && connection != null) {
                closeConnection(connection);
                connection = null;
            }
            finish(reason);
        }

        void finish(EndReason reason) {
            if (!finished) {
                finished = true;
                onFinished(reason);
            }
        }

        /** What stands against sending it, asked before its connection is looked for, and when it has come up. */
        SendObstacle findSendObstacle() {
            return SendObstacle.NONE;
        }

        private boolean isSendPrevented() {
            SendObstacle obstacle = findSendObstacle();
            if (obstacle != SendObstacle.NONE) {
                Metrics.increment(Metric.SENDS_PREVENTED, obstacle);
            }
            return obstacle != SendObstacle.NONE;
        }

        abstract void onResponseComplete();

        abstract void onFinished(EndReason reason);
    }

    private final class AttemptExchange extends BackendExchange implements ResponseSource, StreamRegistry.Owner {
        private final Backends.AttemptListener report;
        private final OutboundRequest request;
        private final long responseDeadlineNanos;
        private final long sendDeadlineNanos;
        private ResponseTranslator translation;
        private ResponseTranslator passThroughParser;
        private final ResponseTail tail = new ResponseTail();
        private final FirstEventBuffer firstEventBuffer = new FirstEventBuffer();
        private final ByteArrayOutputStream bufferedResponse = new ByteArrayOutputStream(0);
        private ResponseHead responseHead;
        private boolean relayed;
        private boolean requestRejected;
        private boolean reported;
        private boolean responseComplete;
        private long discardedBytes;
        private Sink sink;
        private ByteBuffer pendingChunk;
        private ResponseStream stream;
        private Timers.Timer wakeTimer;
        private StreamState wakeTimerState;
        private Timers.Timer discardTimer;

        AttemptExchange(OutboundRequest parcel, long until, long sendBy, Backends.AttemptListener report) {
            this.request = parcel;
            this.responseDeadlineNanos = until;
            this.sendDeadlineNanos = sendBy;
            this.report = report;
        }

        void openStream(double promptTokens, boolean canRetry) {
            stream = streams.open(
                    timers.now(), id, promptTokens, responseDeadlineNanos, canRetry, request.isStreamed(), this);
            scheduleWake();
        }

        @Override
        ByteBuffer[] encodeRequest() {
            return request.encode(dialect, hostAndPort(), Math.max(0, responseDeadlineNanos - timers.now()));
        }

        private void tell(Runnable message) {
            mailbox.tellOrFail(message, this::onInternalError);
        }

        /** Something threw that nobody expected: the client is told, and the backend's work called off. */
        void onInternalError() {
            abort(EndReason.CONNECTION_LOST);
            if (sink != null) {
                responseComplete = false;
                sink.onBroken(stream.attemptEnd());
            }
        }

        @Override
        public void onClientStalled() {
            report.onClientStalled();
        }

        /** The silence of the backend or of the reader has lasted too long, or there is no room for the stream. */
        @Override
        public void endStream(EndReason reason) {
            boolean backendSideOver = finished;
            abort(reason);
            if (backendSideOver && sink != null) {
                // The backend's side is over; the client has yet to hear that its own is.
                responseComplete = false;
                sink.onBroken(stream.attemptEnd());
            }
        }

        /** Nobody wants the answer any more, or can wait for it: one that is on its way is taken rather than cut. */
        void cancel(EndReason reason) {
            if (!finished && reason == EndReason.TIMED_OUT && firstEventBuffer.bufferedBytes() > 0) {
                // The next piece was asked for already, and must not come before this one is taken.
                connection.pauseReading();
                deliver(firstEventBuffer.release());
                return;
            }
            abort(reason);
            closeStream();
        }

        private void closeStream() {
            pendingChunk = null;
            stream.close();
            cancelWake();
        }

        @Override
        public void onSinkClosed() {
            tell(this::closeStream);
        }

        @Override
        public void onUnsentBytes(int remainingBytes) {
            tell(() -> {
                stream.onClientBackpressure(timers.now(), remainingBytes);
                scheduleWake();
            });
        }

        /** One timer for a stream: it comes when it was first needed, and finds out when to come again. */
        private void scheduleWake() {
            if (wakeTimer != null && wakeTimerState == stream.state()) {
                return;
            }
            cancelWake();
            long wakeAtNanos = stream.wakeAtNanos();
            if (wakeAtNanos != ResponseStream.NEVER) {
                wakeTimerState = stream.state();
                wakeTimer = timers.schedule(
                        wakeAtNanos - timers.now(),
                        () -> tell(() -> {
                            wakeTimer = null;
                            stream.wake(timers.now());
                            scheduleWake();
                        }));
            }
        }

        private void cancelWake() {
            if (wakeTimer != null) {
                wakeTimer.cancel();
                wakeTimer = null;
            }
        }

        @Override
        public void onHead(ResponseHead response) {
            responseHead = response;
            requestRejected = CLIENT_ERROR_STATUSES.contains(response.status());
            relayed = response.status() == 200 || requestRejected;
            stream.onHead(timers.now(), relayed);
            if (relayed) {
                translation = dialect == request.dialect()
                        ? null
                        : requestRejected
                                ? ResponseTranslator.forError(request.dialect(), response.status())
                                : ResponseTranslator.create(dialect, request.dialect(), request.isStreamed());
                passThroughParser = translation != null
                                || requestRejected
                                || !request.responseSummary().collectsUsage()
                        ? null
                        : ResponseTranslator.create(dialect, dialect, request.isStreamed());
                scheduleWake();
            } else {
                cancelWake();
                discardTimer = timers.schedule(DISCARD_TIMEOUT_NANOS, () -> tell(() -> abort(failureReason())));
            }
        }

        /**
         * Told with the first whole event for the client, not with the head or a part of it: a stream that is spoilt or
         * broken before that has shown the client nothing, and its flow may still go elsewhere.
         */
        private void reportResponse() {
            if (!reported) {
                reported = true;
                if (requestRejected) {
                    request.responseSummary().setStatus(responseHead.status());
                    report.onClientErrorResponse(this);
                } else {
                    report.onResponseStarted(this);
                }
            }
        }

        /** The outcome of an answer that is none of the client's business. */
        private EndReason failureReason() {
            // By the messages interface's word, 429 and 529 are answers to requests that were not taken.
            boolean notAccepted = responseHead.header("x-not-run").equals("1")
                    || dialect == Dialect.MESSAGES && (responseHead.status() == 429 || responseHead.status() == 529);
            return notAccepted ? EndReason.NOT_ACCEPTED : relayed ? EndReason.TRUNCATED : EndReason.BACKEND_ERROR;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (!relayed) {
                discardedBytes += bytes.remaining();
                if (discardedBytes > MAX_DISCARDED_BYTES) {
                    abort(failureReason());
                } else {
                    connection.resumeReading();
                }
                return;
            }
            try {
                tail.add(bytes);
                inspect(bytes.duplicate());
                deliver(
                        translation != null
                                ? translation.feed(bytes)
                                : request.isStreamed() && !requestRejected
                                        ? firstEventBuffer.feed(bytes)
                                        : bufferResponse(bytes));
            } catch (IOException e) {
                abort(EndReason.MALFORMED);
            }
        }

        /** A whole answer is shown when it is whole: half of one under status 200 would pass for all of it. */
        private ByteBuffer bufferResponse(ByteBuffer bytes) throws IOException {
            if (bufferedResponse.size() + bytes.remaining() > MAX_BUFFERED_RESPONSE_BYTES) {
                throw new IOException("answer longer than " + MAX_BUFFERED_RESPONSE_BYTES + " bytes");
            }
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            bufferedResponse.writeBytes(copy);
            return bytes;
        }

        private void deliver(ByteBuffer bytes) {
            if (!bytes.hasRemaining()) {
                stream.onPartialData(timers.now());
                stream.setBufferedBytes(
                        translation != null
                                ? translation.bufferedBytes()
                                : bufferedResponse.size() + firstEventBuffer.bufferedBytes());
                if (connection != null) {
                    scheduleWake();
                    connection.resumeReading();
                }
                return;
            }
            stream.onChunk(timers.now(), bytes.remaining());
            reportResponse();
            if (sink == null) {
                pendingChunk = bytes;
            } else {
                sink.onChunk(bytes);
            }
        }

        /** Reads along where nothing is translated; what it can't read, no client could. */
        private void inspect(ByteBuffer bytes) throws IOException {
            if (passThroughParser != null) {
                passThroughParser.feed(bytes);
            }
        }

        @Override
        public void streamTo(Sink to) {
            tell(() -> {
                sink = to;
                if (pendingChunk != null) {
                    sink.onChunk(pendingChunk);
                    pendingChunk = null;
                }
                if (finished) {
                    notifySinkOfEnd();
                }
            });
        }

        @Override
        public void requestNextChunk() {
            tell(() -> {
                stream.onClientCaughtUp(timers.now());
                if (connection != null) {
                    scheduleWake();
                    connection.resumeReading();
                }
            });
        }

        @Override
        SendObstacle findSendObstacle() {
            if (removed) {
                return SendObstacle.BACKEND_LEFT;
            }
            if (draining) {
                return SendObstacle.BACKEND_DRAINS;
            }
            if (timers.now() >= responseDeadlineNanos) {
                return SendObstacle.OUT_OF_TIME;
            }
            if (timers.now() >= sendDeadlineNanos) {
                return SendObstacle.REPEAT_WINDOW_OVER;
            }
            return report.isStillWanted() ? SendObstacle.NONE : SendObstacle.NOT_WANTED;
        }

        @Override
        void onRequestSent() {
            Invariant.NOT_SENT_TO_LEAVING_BACKEND.check(
                    !removed && !draining, this::describe, removed ? "it had left" : "it drains");
            Invariant.DEADLINE_TOLD_IN_TIME.check(
                    timers.now() - Math.min(responseDeadlineNanos, sendDeadlineNanos)
                            < Backends.MAX_PROCESS_STALL_NANOS,
                    this::describe,
                    "written after its time");
        }

        private String describe() {
            return "request " + request.requestId() + " at " + address;
        }

        @Override
        void onResponseComplete() {
            try {
                responseComplete = relayed;
                if (translation != null) {
                    responseComplete = false;
                    deliverRemainder(translation.finish());
                    responseComplete = true;
                } else if (bufferedResponse.size() > 0) {
                    if (passThroughParser != null) {
                        passThroughParser.finish();
                    }
                    deliverRemainder(ByteBuffer.wrap(bufferedResponse.toByteArray()));
                } else if (relayed && reported && !requestRejected && !tail.hasLastEvent(dialect)) {
                    responseComplete = false;
                }
            } catch (IOException e) {
                responseComplete = false;
            }
            if (relayed && reported && !responseComplete) {
                // The framing ended, the answer did not: it must not look finished.
                finish(EndReason.TRUNCATED);
                return;
            }
            if (requestRejected) {
                reportResponse();
            }
            // A stream without a single event answers nothing, whole as it may be.
            finish(!reported ? failureReason() : requestRejected ? EndReason.REJECTED : EndReason.COMPLETED);
        }

        /** The last bytes of a translated answer; a sink that is not there yet gets them with its start. */
        private void deliverRemainder(ByteBuffer bytes) {
            if (bytes.hasRemaining()) {
                stream.setBufferedBytes(0);
                stream.onChunk(timers.now(), bytes.remaining());
                reportResponse();
            }
            if (bytes.hasRemaining() && sink != null) {
                sink.onChunk(bytes);
            } else if (bytes.hasRemaining()) {
                pendingChunk = bytes;
            }
        }

        @Override
        void onFinished(EndReason reason) {
            if (discardTimer != null) {
                discardTimer.cancel();
            }
            if (reason == EndReason.COMPLETED || reason == EndReason.REJECTED) {
                stream.onResponseComplete(reason);
            } else {
                stream.onBackendEnded(reason);
            }
            cancelWake();
            scheduleWake();
            ResponseTranslator parser = translation != null ? translation : passThroughParser;
            if (relayed) {
                request.responseSummary()
                        .recordUsage(
                                dialect,
                                parser == null ? 0 : parser.unrecognizedEvents(),
                                parser == null ? 0 : parser.totalTokens(),
                                request.responseSummary().collectsUsage() && tail.hasLastEvent(dialect));
            }
            String loadReport = responseHead == null
                    ? ""
                    : tail.loadReport().isEmpty() ? responseHead.header("x-load") : tail.loadReport();
            AttemptEnd attemptEnd = stream.attemptEnd();
            Metrics.increment(Metric.ATTEMPTS, attemptEnd.label());
            LOG.fine(() -> request.requestId() + " at " + address + ": " + attemptEnd.label());
            report.onAttemptEnded(
                    attemptEnd, tail.cachedTokens(), LoadReport.parse(loadReport, limits.loadReportFields()));
            if (sink != null) {
                notifySinkOfEnd();
            }
        }

        private void notifySinkOfEnd() {
            if (responseComplete) {
                sink.onComplete();
            } else {
                sink.onBroken(stream.attemptEnd());
            }
        }
    }

    private final class HealthCheckExchange extends BackendExchange {
        private final Backends.HealthCheckListener report;
        private List<Double> loadReport = List.of();
        private ResponseHead responseHead;

        HealthCheckExchange(Backends.HealthCheckListener report) {
            this.report = report;
            timers.schedule(
                    limits.healthCheckTimeoutNanos(), () -> mailbox.tellAlways(() -> abort(EndReason.TIMED_OUT)));
        }

        @Override
        ByteBuffer[] encodeRequest() {
            return new ByteBuffer[] {
                ByteBuffer.wrap(("GET /stats HTTP/1.1\r\nHost: " + hostAndPort() + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1))
            };
        }

        @Override
        public void onHead(ResponseHead response) {
            responseHead = response;
            loadReport = LoadReport.parse(response.header("x-load"), limits.loadReportFields());
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (loadReport.isEmpty()) {
                loadReport =
                        LoadReport.parse(StandardCharsets.UTF_8.decode(bytes).toString(), limits.loadReportFields());
            }
            connection.resumeReading();
        }

        @Override
        void onResponseComplete() {
            finish(responseHead.status() == 200 ? EndReason.COMPLETED : EndReason.NOT_ACCEPTED);
        }

        @Override
        void onFinished(EndReason reason) {
            report.onHealthChecked(reason.outcome(), loadReport);
        }
    }
}
