package fawnlb.admin;

import fawnlb.actor.Timers;
import fawnlb.client.ClientExchange;
import fawnlb.client.Replies;
import fawnlb.metrics.Metrics;
import fawnlb.stream.Streams;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.LongFunction;
import java.util.logging.Logger;

/** What a running node tells its operators: at a listener of its own, and in the log. It changes nothing. */
public final class AdminFront implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(AdminFront.class.getName());

    private final Streams streams;
    private final LongFunction<String> addresses;

    /** Addresses: where each backend listens. Both are asked on the I/O thread, to which they belong. */
    public AdminFront(Streams streams, LongFunction<String> addresses) {
        this.streams = streams;
        this.addresses = addresses;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "GET");
            say(exchange, StatusCodes.METHOD_NOT_ALLOWED, "text/plain", "only GET is served here\n");
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/targets" -> say(exchange, StatusCodes.OK, "text/plain", text());
            case "/targets.json" ->
                say(exchange, StatusCodes.OK, "application/json", FiguresTable.json(streams.figures(), addresses));
            case "/metrics" -> say(exchange, StatusCodes.OK, "text/plain; version=0.0.4", Metrics.text());
            default ->
                say(
                        exchange,
                        StatusCodes.NOT_FOUND,
                        "text/plain",
                        "no such path; there are /targets, /targets.json and /metrics\n");
        }
    }

    private static void say(HttpServerExchange exchange, int status, String type, String text) {
        ClientExchange.write(exchange, new Replies.Reply(status, type, text), 0);
    }

    private String text() {
        return FiguresTable.text(streams.figures(), addresses) + streams.open() + " stream(s) open, " + streams.held()
                + " byte(s) held for their readers\n";
    }

    /** Writes the table to the log each time so many nanoseconds have passed. */
    public void logEvery(long nanos, Timers timers) {
        timers.after(nanos, () -> {
            LOG.info("targets:\n" + text());
            logEvery(nanos, timers);
        });
    }
}
