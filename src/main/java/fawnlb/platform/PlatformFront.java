package fawnlb.platform;

import fawnlb.Balancer.Settings;
import fawnlb.actor.Mailbox;
import fawnlb.flow.Ask;
import fawnlb.flow.Flows;
import fawnlb.target.Parcel;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

/** The platform's protocol for clients: a thin front of the core. */
public final class PlatformFront implements HttpHandler {
    private static final int LARGEST_BODY = 256 * 1024;
    private static final int MAILBOX = 64;

    private final Flows flows;
    private final AskReader asks;
    private volatile boolean draining;
    private int serving;

    public PlatformFront(Flows flows, Settings settings) {
        this.flows = flows;
        this.asks = new AskReader(settings);
    }

    /** From here on readiness is denied, and each connection closes with its next answer. */
    public void drain() {
        draining = true;
    }

    /** Exchanges without the last byte of their answer. */
    public int serving() {
        return serving;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        switch (exchange.getRequestPath()) {
            case "/health/ready" -> text(exchange, draining ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.OK,
                    draining ? "draining" : "ready");
            case "/v1/chat/completions" -> {
                if (exchange.getRequestMethod().equals(Methods.POST)) {
                    receive(exchange);
                } else {
                    exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
                    text(exchange, StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here");
                }
            }
            default -> text(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void receive(HttpServerExchange exchange) {
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(LARGEST_BODY);
        receiver.receiveFullBytes((e, body) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> take(e, body)),
                (e, error) -> {
                    e.setPersistent(false);
                    if (error instanceof Receiver.RequestToLargeException) {
                        text(e, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
                    } else {
                        text(e, StatusCodes.BAD_REQUEST, "the body could not be read");
                    }
                });
    }

    private void take(HttpServerExchange exchange, byte[] body) {
        Ask ask;
        try {
            String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
            if (id == null || id.isBlank()) {
                throw new IllegalArgumentException("X-Request-Id is missing");
            }
            ask = asks.read(exchange.getRequestHeaders()::getFirst, new Parcel("POST", path(exchange), id, body));
        } catch (IllegalArgumentException e) {
            text(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
            return;
        }
        serving++;
        ClientExchange client = new ClientExchange(exchange, new Mailbox(exchange.getIoThread(), MAILBOX),
                () -> serving--);
        Flows.Ticket ticket = flows.take(ask, client);
        if (ticket == null) {
            client.refused(null, 1_000_000_000);
        } else {
            client.serve(ticket);
        }
    }

    private static String path(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static void text(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n");
    }
}
