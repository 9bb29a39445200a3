package fawnlb.platform;

import fawnlb.actor.Mailbox;
import fawnlb.backend.Parcel;
import fawnlb.client.ClientExchange;
import fawnlb.client.OpenIds;
import fawnlb.client.Replies;
import fawnlb.decision.Balancer.Settings;
import fawnlb.dialect.Dialect;
import fawnlb.dialect.Prompt;
import fawnlb.flow.Ask;
import fawnlb.flow.Flows;
import fawnlb.http.BodyReader;
import fawnlb.http.Heads;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/** The platform's protocol for clients: a thin front of the core. */
public final class PlatformFront implements HttpHandler {
    private static final int MAILBOX = 64;
    private static final long NO_ROOM_RETRY = 1_000_000_000;

    private final Flows flows;
    private final BodyReader bodies;
    private final OpenIds ids;
    private final AskReader asks;
    private final boolean mixed;
    private volatile boolean heard;
    private volatile boolean draining;

    /** Mixed: some backends speak the other dialect, so that every request must be one that can be translated. */
    public PlatformFront(Flows flows, BodyReader bodies, OpenIds ids, Settings settings, boolean mixed) {
        this.flows = flows;
        this.bodies = bodies;
        this.ids = ids;
        this.asks = new AskReader(settings);
        this.mixed = mixed;
    }

    /**
     * Discovery has answered or failed: until then the node does not know where to send, and others that do are better
     * asked.
     */
    public void heard() {
        heard = true;
    }

    /** From here on readiness is denied. */
    public void drain() {
        draining = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/health/ready" ->
                text(
                        exchange,
                        heard && !draining ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE,
                        draining ? "draining" : heard ? "ready" : "waiting for discovery");
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
        Parcel.Tally tally = new Parcel.Tally(false);
        String id;
        try {
            id = id(exchange);
            if (body.length == 0) {
                throw new IllegalArgumentException("the request has no body");
            }
            byte[] translated = mixed ? Prompt.read(Dialect.CHAT, body).write(Dialect.MESSAGES) : null;
            ask = asks.read(
                    name -> Heads.one(exchange, name),
                    new Parcel(
                            Dialect.CHAT,
                            path(exchange),
                            id,
                            Heads.one(exchange, Parcel.IDEMPOTENCY_KEY),
                            true,
                            body,
                            translated,
                            tally));
        } catch (IllegalArgumentException | Prompt.Bad e) {
            text(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
            return;
        }
        if (!ids.open(id, exchange)) {
            text(exchange, StatusCodes.CONFLICT, "X-Request-Id is that of an open request");
            return;
        }
        ClientExchange client =
                new ClientExchange(exchange, new Mailbox(exchange.getIoThread(), MAILBOX), new PlatformReplies(tally));
        Flows.Ticket ticket = flows.take(ask, client);
        if (ticket == null) {
            client.refused(null, NO_ROOM_RETRY);
        } else {
            client.serve(ticket);
        }
    }

    private static String id(HttpServerExchange exchange) {
        String id = Heads.one(exchange, "X-Request-Id");
        if (id == null || !id.matches("[!-~]{1,128}")) {
            throw new IllegalArgumentException("X-Request-Id: expected one, of up to 128 visible characters");
        }
        return id;
    }

    private static String path(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static void text(HttpServerExchange exchange, int status, String text) {
        ClientExchange.write(exchange, new Replies.Reply(status, "text/plain", text + "\n"), 0);
    }
}
