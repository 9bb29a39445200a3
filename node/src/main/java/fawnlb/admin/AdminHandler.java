package fawnlb.admin;

import fawnlb.client.FixedResponse;
import fawnlb.decision.EndpointId;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Metrics;
import fawnlb.stream.StreamRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.Function;
import java.util.logging.Logger;

/** The admin listener's API: the streams of each backend, and the metrics. It only reads. */
@EventLoopOnly
public final class AdminHandler implements HttpHandler {
    static final String TARGETS_PATH = "/targets";
    static final String TARGETS_JSON_PATH = "/targets.json";
    private static final String METRICS_PATH = "/metrics";
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4";
    private static final Logger LOG = Logger.getLogger(AdminHandler.class.getName());

    private final StreamRegistry streams;
    private final Function<EndpointId, String> backendAddresses;

    /**
     * Creates a handler.
     *
     * @param backendAddresses returns the address of a backend, given its id
     */
    public AdminHandler(StreamRegistry streams, Function<EndpointId, String> backendAddresses) {
        this.streams = streams;
        this.backendAddresses = backendAddresses;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "GET");
            respond(exchange, StatusCodes.METHOD_NOT_ALLOWED, TEXT, "only GET is served here\n");
            return;
        }
        switch (exchange.getRequestPath()) {
            case TARGETS_PATH -> respond(exchange, StatusCodes.OK, TEXT, formatTargets());
            case TARGETS_JSON_PATH -> respond(exchange, StatusCodes.OK, JSON, formatTargetsAsJson());
            case METRICS_PATH -> respond(exchange, StatusCodes.OK, PROMETHEUS_TEXT, Metrics.toPrometheusText());
            default ->
                respond(
                        exchange,
                        StatusCodes.NOT_FOUND,
                        TEXT,
                        "no such path; there are /targets, /targets.json and /metrics\n");
        }
    }

    private static void respond(HttpServerExchange exchange, int status, String contentType, String text) {
        new FixedResponse(status, contentType, text).send(exchange);
    }

    private String formatTargets() {
        return StreamStatisticsFormatter.toText(streams.statistics(), backendAddresses) + streams.openStreams()
                + " stream(s) open, " + streams.bufferedBytes() + " byte(s) held for their readers\n";
    }

    private String formatTargetsAsJson() {
        return StreamStatisticsFormatter.toJson(streams.statistics(), backendAddresses);
    }

    /**
     * Writes the table of backends to the log once in each interval, for as long as the server runs. It may be called
     * on any thread.
     */
    public void scheduleStatisticsLog(long intervalNanos, Timers timers) {
        timers.schedule(intervalNanos, () -> {
            LOG.info("targets:\n" + formatTargets());
            scheduleStatisticsLog(intervalNanos, timers);
        });
    }
}
