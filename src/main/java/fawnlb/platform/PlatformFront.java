package fawnlb.platform;

import fawnlb.Balancer.Outcome;
import fawnlb.Balancer.Settings;
import fawnlb.actor.Mailbox;
import fawnlb.client.BodyReader;
import fawnlb.client.ClientExchange;
import fawnlb.client.Replies;
import fawnlb.dialect.Dialect;
import fawnlb.dialect.Prompt;
import fawnlb.flow.Ask;
import fawnlb.flow.Flows;
import fawnlb.target.Parcel;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/** The platform's protocol for clients: a thin front of the core. */
public final class PlatformFront implements HttpHandler, Replies {
    private static final int MAILBOX = 64;
    private static final long NO_ROOM_RETRY = 1_000_000_000;

    private final Flows flows;
    private final BodyReader bodies;
    private final AskReader asks;
    private final boolean mixed;
    private volatile boolean draining;

    /** Mixed: some targets speak the other dialect, so that every request must be one that can be translated. */
    public PlatformFront(Flows flows, BodyReader bodies, Settings settings, boolean mixed) {
        this.flows = flows;
        this.bodies = bodies;
        this.asks = new AskReader(settings);
        this.mixed = mixed;
    }

    /** From here on readiness is denied. */
    public void drain() {
        draining = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/health/ready" -> text(exchange, draining ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.OK,
                    draining ? "draining" : "ready");
            case "/v1/chat/completions" -> {
                if (exchange.getRequestMethod().equals(Methods.POST)) {
                    bodies.receive(exchange, this::take, PlatformFront::text);
                } else {
                    exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
                    text(exchange, StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here");
                }
            }
            default -> text(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void take(HttpServerExchange exchange, byte[] body) {
        Ask ask;
        try {
            String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
            if (id == null || id.isBlank()) {
                throw new IllegalArgumentException("X-Request-Id is missing");
            }
            byte[] translated = mixed ? Prompt.read(Dialect.CHAT, body).write(Dialect.MESSAGES) : null;
            ask = asks.read(exchange.getRequestHeaders()::getFirst,
                    new Parcel(Dialect.CHAT, path(exchange), id, true, body, translated, null));
        } catch (IllegalArgumentException | Prompt.Bad e) {
            text(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
            return;
        }
        ClientExchange client = new ClientExchange(exchange, new Mailbox(exchange.getIoThread(), MAILBOX), this);
        Flows.Ticket ticket = flows.take(ask, client);
        if (ticket == null) {
            client.refused(null, NO_ROOM_RETRY);
        } else {
            client.serve(ticket);
        }
    }

    private static String path(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    @Override
    public String servedType() {
        return "text/event-stream";
    }

    @Override
    public Reply refused(Outcome cause) {
        return new Reply(StatusCodes.SERVICE_UNAVAILABLE, "text/plain", "refused; try again later\n");
    }

    @Override
    public Reply failed(Outcome cause) {
        return new Reply(cause == Outcome.TIMEOUT ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY, "text/plain",
                "failed\n");
    }

    private static void text(HttpServerExchange exchange, int status, String text) {
        ClientExchange.write(exchange, new Reply(status, "text/plain", text + "\n"), 0);
    }
}
