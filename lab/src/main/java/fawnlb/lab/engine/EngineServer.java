package fawnlb.lab.engine;

import fawnlb.eventloop.Timers;
import fawnlb.lab.net.Fault;
import fawnlb.lab.net.HttpExchange;
import fawnlb.lab.net.HttpRequest;
import fawnlb.lab.net.HttpServer;
import fawnlb.lab.rules.RuleChecker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.xnio.XnioWorker;

/**
 * An emulated backend: an {@link Engine} behind sockets, and the faults that it can show. All methods are called on the
 * worker's I/O thread; only {@link #address} and {@link #profile} may be called on any thread.
 */
public final class EngineServer implements HttpServer.Handler {
    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

    private final EngineSpec spec;
    private final Timers timers;
    private final RuleChecker rules;
    private final HttpServer server;
    private String id;
    private Engine engine;
    private boolean draining;
    private boolean unresponsive;
    private Function<String, Fault> faultSelector = requestId -> null;
    private LongSupplier stepDelayNanos = () -> 0;
    private LongConsumer detectionListener = nanos -> {};
    private CompletedResponse lastResponse = CompletedResponse.NONE;
    private final List<Long> cancelledSilencesNanos = new ArrayList<>();
    private int connectionCount;

    /**
     * Starts the engine on a free port.
     *
     * @throws IOException if the server can't listen
     */
    public EngineServer(EngineSpec spec, XnioWorker worker, Timers timers, RuleChecker rules) throws IOException {
        this.spec = spec;
        this.id = spec.id();
        this.timers = timers;
        this.rules = rules;
        this.engine = new Engine(spec.profile(), spec.slowStart(), spec.startedAt());
        this.server = new HttpServer(worker, new InetSocketAddress("127.0.0.1", 0), this);
    }

    /** Returns the endpoint id; {@link #replace} changes it. */
    public String id() {
        return id;
    }

    /** Returns what the engine can do. */
    public EngineProfile profile() {
        return spec.profile();
    }

    /** Returns where the engine listens, whether or not it is up. */
    public InetSocketAddress address() {
        return server.address();
    }

    ApiFormat apiFormat() {
        return spec.apiFormat();
    }

    boolean isReachable() {
        return !unresponsive && !engine.isCollapsed();
    }

    /** Returns whether the engine is down because it received too much work during its slow start. */
    public boolean isCollapsed() {
        return engine.isCollapsed();
    }

    // ---- Faults and changes ---------------------------------------------------------------------------

    /** Replaces the engine by another one at the same address, which begins its slow start now. */
    public void replace(String newId) {
        id = newId;
        engine = new Engine(spec.profile(), spec.slowStart(), timers.now());
        server.resetConnections();
    }

    /** Restarts the process: the engine comes back with an empty cache and begins its slow start now. */
    public void restart() throws IOException {
        replace(id);
        unresponsive = false;
        draining = false;
        server.resumeListening();
    }

    /** Completes the requests in flight and rejects new ones. */
    public void drain() {
        draining = true;
    }

    /** Ends the process: connections are reset and new ones refused. */
    public void crash() {
        server.stopListening();
        server.resetConnections();
    }

    /** Cuts the machine off the network: open connections become silent, new ones are never established. */
    public void becomeUnreachable() throws IOException {
        unresponsive = true;
        server.dropNewConnections();
    }

    /** Multiplies the duration of all further steps. */
    public void setSlowdown(double factor) {
        engine.setSlowdown(factor);
    }

    /** Adds to the duration of each step what the supplier returns in nanoseconds. */
    public void setStepDelay(LongSupplier nanos) {
        stepDelayNanos = nanos;
    }

    /** Selects the fault of each response by its request id; null for none. */
    public void injectFaults(Function<String, Fault> selector) {
        faultSelector = selector;
    }

    /** Sets the listener of the times from an injected fault to the close of its connection by the node. */
    public void setDetectionListener(LongConsumer listener) {
        detectionListener = listener;
    }

    /** Stops listening and resets all connections. */
    public void close() {
        server.close();
    }

    // ---- Measurements ---------------------------------------------------------------------------------

    /** Returns size and time of the last response that was written to its end. */
    public CompletedResponse lastResponse() {
        return lastResponse;
    }

    /** Returns, for each answer that the node cancelled without a fault, the nanoseconds since its last event. */
    public List<Long> cancelledSilencesNanos() {
        return cancelledSilencesNanos;
    }

    /** Returns how many connections the engine has accepted. */
    public int connectionCount() {
        return connectionCount;
    }

    void onFaultDetected(long elapsedNanos) {
        detectionListener.accept(elapsedNanos);
    }

    void onAnswerCancelled(long silenceNanos) {
        cancelledSilencesNanos.add(silenceNanos);
    }

    void onAnswerCompleted(CompletedResponse response) {
        lastResponse = response;
    }

    // ---- Requests -------------------------------------------------------------------------------------

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
        if (path.equals(spec.apiFormat().path())) {
            handleCompletion(CompletionRequest.parse(request), exchange);
            return;
        }
        switch (path) {
            case "/health/live" -> exchange.write("HTTP/1.1 200 OK\r\n" + EMPTY_BODY);
            case "/stats" -> writeLoadReport(exchange);
            default -> exchange.write("HTTP/1.1 404 Not Found\r\n" + EMPTY_BODY);
        }
    }

    private void writeLoadReport(HttpExchange exchange) {
        engine.onLoadReportRequested();
        String report = "TEXT queue=" + engine.queueLength();
        exchange.write("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
    }

    private void handleCompletion(CompletionRequest request, HttpExchange exchange) {
        long now = timers.now();
        rules.onAttemptReceived(now, request.requestId(), id, exchange::isOpen);
        rules.onDeadlineForwarded(now, request.requestId(), request.timeoutNanos());
        GeneratedAnswer answer = new GeneratedAnswer(this, engine, timers, rules, request, exchange);
        if (draining || !engine.offer(now, answer.sequence())) {
            reject(request, exchange);
            return;
        }
        rules.onExecutionStarted(request.requestId());
        exchange.injectFault(faultSelector.apply(request.requestId()));
        exchange.setCloseListener(answer::onConnectionClosed);
        runStep(engine);
    }

    private void reject(CompletionRequest request, HttpExchange exchange) {
        rules.onAttemptCancelled(timers.now(), request.requestId(), id);
        exchange.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + EMPTY_BODY);
        if (engine.isCollapsed()) {
            rules.onBackendCollapsed(id);
            crash();
        }
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
}
