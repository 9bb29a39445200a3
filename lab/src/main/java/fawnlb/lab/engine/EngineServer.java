package fawnlb.lab.engine;

import fawnlb.eventloop.Timers;
import fawnlb.lab.net.Fault;
import fawnlb.lab.net.HttpExchange;
import fawnlb.lab.net.HttpRequest;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.xnio.XnioWorker;

/** A box: an engine behind sockets, with what can go wrong with it. All of it runs on the worker's I/O thread. */
public final class EngineServer implements HttpServer.Handler {
    private static final Pattern MAX_TOKENS_FIELD = Pattern.compile("\"max_tokens\"\\s*:\\s*(\\d{1,6})");
    private static final Pattern STREAM_FIELD = Pattern.compile("\"stream\"\\s*:\\s*true");
    /** Tokens in one event. */
    private static final int TOKENS_PER_EVENT = 4;

    private static final String STREAM_RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

    private final Timers timers;
    private final RuleChecker rules;
    private final EngineProfile profile;
    private final ApiFormat apiFormat;
    private final Engine.SlowStartProfile slowStart;
    private final HttpServer server;
    private String id;
    private Engine engine;
    private boolean draining;
    private boolean unresponsive;
    private Function<String, Fault> faultSelector = request -> null;
    private LongSupplier stepDelayNanos = () -> 0;
    private LongConsumer detectionListener = nanos -> {};
    private int lastResponseBytes;
    private int lastHeadBytes;
    private long lastResponseAt;
    private int connectionCount;
    private final List<Long> cancelledSilencesNanos = new ArrayList<>();

    /**
     * What the lab's clients tell of a request in its query: the true length of an answer is known to no one else.
     * Where a query does not come through, in another dialect, an answer is as long as it may be.
     */
    private record CompletionRequest(
            String requestId,
            long session,
            long prefix,
            int promptTokens,
            int prefixTokens,
            int outputTokens,
            int paddingBytes,
            boolean streaming,
            long timeoutNanos) {
        static CompletionRequest of(HttpRequest request) {
            Map<String, Long> parameters = new HashMap<>();
            for (String parameter :
                    request.path().substring(request.path().indexOf('?') + 1).split("&")) {
                int separator = parameter.indexOf('=');
                if (separator > 0) {
                    parameters.put(
                            parameter.substring(0, separator),
                            Long.parseUnsignedLong(parameter.substring(separator + 1), 16));
                }
            }
            String body = new String(request.body(), StandardCharsets.UTF_8);
            Matcher maxTokens = MAX_TOKENS_FIELD.matcher(body);
            if (!parameters.containsKey("out") && maxTokens.find()) {
                parameters.put("out", Long.parseLong(maxTokens.group(1)));
            }
            return new CompletionRequest(
                    request.header("x-request-id"),
                    parameters.getOrDefault("session", 0L),
                    parameters.getOrDefault("prefix", 0L),
                    parameters.getOrDefault("prompt", 1L).intValue(),
                    parameters.getOrDefault("shared", 0L).intValue(),
                    parameters.getOrDefault("out", 1L).intValue(),
                    parameters.getOrDefault("pad", 0L).intValue(),
                    STREAM_FIELD.matcher(body).find(),
                    request.header("x-deadline-ms").isEmpty()
                            ? 0
                            : Long.parseLong(request.header("x-deadline-ms")) * 1_000_000);
        }
    }

    public EngineServer(
            String id,
            EngineProfile profile,
            ApiFormat apiFormat,
            Engine.SlowStartProfile slowStart,
            long startedAt,
            XnioWorker worker,
            Timers timers,
            RuleChecker rules)
            throws IOException {
        this.id = id;
        this.profile = profile;
        this.apiFormat = apiFormat;
        this.slowStart = slowStart;
        this.timers = timers;
        this.rules = rules;
        this.engine = new Engine(profile, slowStart, startedAt);
        this.server = new HttpServer(worker, new InetSocketAddress("127.0.0.1", 0), this);
    }

    public String id() {
        return id;
    }

    public EngineProfile profile() {
        return profile;
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Whether it was sent so much while it was cold that it fell over. */
    public boolean isCollapsed() {
        return engine.isCollapsed();
    }

    // ---- What can happen to it ------------------------------------------------------------------------

    /** Another box at the same address, cold. */
    public void replace(String newId) {
        id = newId;
        engine = new Engine(profile, slowStart, timers.now());
        server.resetConnections();
    }

    /** The process starts anew, cold and with nothing kept. */
    public void restart() throws IOException {
        replace(id);
        unresponsive = false;
        draining = false;
        server.resumeListening();
    }

    /** Finishes what it has and turns away all else. */
    public void drain() {
        draining = true;
    }

    /** The process is gone: connections are reset, new ones refused. */
    public void crash() {
        server.stopListening();
        server.resetConnections();
    }

    /** Says nothing any more, as a machine that is cut off: open connections stay open, new ones never come up. */
    public void becomeUnreachable() throws IOException {
        unresponsive = true;
        server.dropNewConnections();
    }

    public void setSlowdown(double factor) {
        engine.setSlowdown(factor);
    }

    public void close() {
        server.close();
    }

    /** What is done to the answers, by the request's id; null for those that are left as they are. */
    public void injectFaults(Function<String, Fault> selector) {
        faultSelector = selector;
    }

    /** Each step takes so many nanoseconds longer than it would. */
    public void setStepDelay(LongSupplier nanos) {
        stepDelayNanos = nanos;
    }

    /** Told how many nanoseconds after a fault struck the other side closed the connection. */
    public void setDetectionListener(LongConsumer listener) {
        detectionListener = listener;
    }

    /** Bytes of the last answer that was written to its end, its head included. */
    public int lastResponseBytes() {
        return lastResponseBytes;
    }

    /** Of it, the bytes of its head. */
    public int lastHeadBytes() {
        return lastHeadBytes;
    }

    /** When that was. */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Of answers that had begun and were called off with no fault on them: nanoseconds since their last event. */
    public List<Long> cancelledSilencesNanos() {
        return cancelledSilencesNanos;
    }

    /** Connections that were made to it. */
    public int connectionCount() {
        return connectionCount;
    }

    // ---- What it answers ------------------------------------------------------------------------------

    @Override
    public void onConnected(HttpExchange exchange) {
        connectionCount++;
        engine.onConnectionOpened();
    }

    @Override
    public void onRequest(HttpRequest request, HttpExchange exchange) {
        if (unresponsive) {
            exchange.stopCommunicating();
            return;
        }
        if (engine.isCollapsed()) {
            crash();
            return;
        }
        String path = request.path().split("\\?")[0];
        if (path.equals(apiFormat.path())) {
            handleCompletion(CompletionRequest.of(request), exchange);
            return;
        }
        switch (path) {
            case "/health/live" -> exchange.write("HTTP/1.1 200 OK\r\n" + EMPTY_BODY);
            case "/stats" -> {
                engine.onLoadReportRequested();
                String report = "TEXT queue=" + engine.queueLength();
                exchange.write("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            }
            default -> exchange.write("HTTP/1.1 404 Not Found\r\n" + EMPTY_BODY);
        }
    }

    private void handleCompletion(CompletionRequest request, HttpExchange exchange) {
        long now = timers.now();
        rules.onAttemptReceived(now, request.requestId(), id, () -> exchange.isOpen());
        rules.told(now, request.requestId(), request.timeoutNanos());
        GeneratedAnswer generated = new GeneratedAnswer(request, exchange);
        if (draining || !engine.offer(now, generated.sequence)) {
            rules.onAttemptEnded(timers.now(), request.requestId(), id, false, 0);
            exchange.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + EMPTY_BODY);
            if (engine.isCollapsed()) {
                rules.onBackendCollapsed(now, id);
                crash();
            }
            return;
        }
        rules.onExecutionStarted(request.requestId());
        exchange.injectFault(faultSelector.apply(request.requestId()));
        exchange.setCloseListener(generated::onConnectionClosed);
        runStep(engine);
    }

    private void runStep(Engine stepping) {
        long endsAt = stepping.beginStep(timers.now());
        if (endsAt >= 0) {
            timers.schedule(endsAt - timers.now() + stepDelayNanos.getAsLong(), () -> {
                if (!unresponsive && stepping == engine) {
                    stepping.endStep();
                    runStep(stepping);
                }
            });
        }
    }

    /** One answer as it is made. */
    private final class GeneratedAnswer implements Engine.TokenListener {
        private final CompletionRequest request;
        private final HttpExchange exchange;
        private final Engine servingEngine = engine;
        private final Engine.Sequence sequence;
        private final CRC32C checksum = new CRC32C();
        private final StringBuilder bodyText = new StringBuilder();
        private boolean finished;
        private long faultInjectedAt = -1;
        private long lastWriteAt = -1;

        GeneratedAnswer(CompletionRequest request, HttpExchange exchange) {
            this.request = request;
            this.exchange = exchange;
            this.sequence = new Engine.Sequence(
                    request.session(),
                    request.prefix(),
                    request.promptTokens(),
                    request.prefixTokens(),
                    request.outputTokens(),
                    this);
        }

        void onConnectionClosed() {
            if (faultInjectedAt >= 0) {
                detectionListener.accept(timers.now() - faultInjectedAt);
            }
            if (!finished) {
                finished = true;
                if (faultInjectedAt < 0 && lastWriteAt >= 0) {
                    cancelledSilencesNanos.add(timers.now() - lastWriteAt);
                }
                servingEngine.cancel(sequence);
                rules.onAttemptEnded(timers.now(), request.requestId(), id, false, 0);
            }
        }

        @Override
        public void onToken(boolean last) {
            if (finished) {
                return;
            }
            if (sequence.generatedTokens() > 1 && sequence.generatedTokens() % TOKENS_PER_EVENT != 0 && !last) {
                return;
            }
            String content = id + '.' + sequence.generatedTokens() + ' ' + "x".repeat(request.paddingBytes());
            if (request.streaming()) {
                String head = sequence.generatedTokens() == 1 ? STREAM_RESPONSE_HEAD : "";
                String events =
                        apiFormat.textEvents(sequence, content, last) + (last ? apiFormat.endEvents(sequence) : "");
                byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
                checksum.update(bytes);
                write(
                        head + Integer.toHexString(bytes.length) + "\r\n" + events + "\r\n" + (last ? "0\r\n\r\n" : ""),
                        last);
            } else {
                bodyText.append(content);
                if (last) {
                    String body = apiFormat.completeBody(sequence, bodyText.toString());
                    checksum.update(body.getBytes(StandardCharsets.UTF_8));
                    write(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                    + "\r\n\r\n" + body,
                            true);
                }
            }
        }

        private void write(String bytes, boolean last) {
            finished = last;
            if (last) {
                rules.onAttemptEnded(timers.now(), request.requestId(), id, true, checksum.getValue());
            }
            exchange.write(bytes);
            lastWriteAt = timers.now();
            if (faultInjectedAt < 0 && exchange.isFaultInjected()) {
                faultInjectedAt = timers.now();
            }
            if (last) {
                lastResponseBytes = exchange.endResponse();
                lastHeadBytes = request.streaming() ? STREAM_RESPONSE_HEAD.length() : bytes.indexOf("\r\n\r\n") + 4;
                lastResponseAt = timers.now();
                if (faultInjectedAt < 0) {
                    exchange.setCloseListener(() -> {});
                }
            }
        }
    }
}
