package fawnlb.admin;

import fawnlb.client.FixedResponse;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Metrics;
import fawnlb.stream.StreamRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.LongFunction;
import java.util.logging.Logger;

/** What a running node tells its operators: at a listener of its own, and in the log. It changes nothing. */
public final class AdminHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(AdminHandler.class.getName());

    private final StreamRegistry streams;
    private final LongFunction<String> backendAddresses;

    /** Addresses: where each backend listens. Both are asked on the I/O thread, to which they belong. */
    public AdminHandler(StreamRegistry streams, LongFunction<String> backendAddresses) {
        this.streams = streams;
        this.backendAddresses = backendAddresses;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "GET");
            respond(exchange, StatusCodes.METHOD_NOT_ALLOWED, "text/plain", "only GET is served here\n");
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/targets" -> respond(exchange, StatusCodes.OK, "text/plain", formatTargets());
            case "/targets.json" ->
                respond(
                        exchange,
                        StatusCodes.OK,
                        "application/json",
                        StreamStatisticsFormatter.toJson(streams.statistics(), backendAddresses));
            case "/metrics" ->
                respond(exchange, StatusCodes.OK, "text/plain; version=0.0.4", Metrics.toPrometheusText());
            default ->
                respond(
                        exchange,
                        StatusCodes.NOT_FOUND,
                        "text/plain",
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

    /** Writes the table to the log each time so many nanoseconds have passed. */
    public void scheduleStatisticsLog(long intervalNanos, Timers timers) {
        timers.schedule(intervalNanos, () -> {
            LOG.info("targets:\n" + formatTargets());
            scheduleStatisticsLog(intervalNanos, timers);
        });
    }
}
