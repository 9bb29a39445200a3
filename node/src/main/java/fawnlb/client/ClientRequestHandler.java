package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestHeadValidator;
import fawnlb.metrics.RejectionReason;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * The first handler of every client request. Rejects a request whose head is invalid, one on a connection over the
 * connection limit and one for which there is no memory, and passes any other request on.
 */
@EventLoopOnly
public final class ClientRequestHandler implements HttpHandler {
    private static final String TEXT = "text/plain";
    private static final FixedResponse TOO_MANY_CONNECTIONS =
            new FixedResponse(503, TEXT, "no room for more connections; try again later\n");
    private static final FixedResponse NO_MEMORY =
            new FixedResponse(503, TEXT, "no room for more requests; try again later\n");
    /** Idle connections are closed to make room, so one second later there is probably some. */
    private static final long RETRY_AFTER_NANOS = 1_000_000_000;

    private final ClientConnectionTracker connections;
    private final HttpHandler next;

    /**
     * Creates a handler.
     *
     * @param connections the tracker that accepted the connections of these requests
     * @param next receives the requests that are not rejected here
     */
    public ClientRequestHandler(ClientConnectionTracker connections, HttpHandler next) {
        this.connections = connections;
        this.next = next;
    }

    // Undertow declares the exception; the handlers of this project throw none.
    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        try {
            RequestHeadValidator.validate(exchange);
        } catch (InvalidRequestException e) {
            exchange.setPersistent(false);
            record(RejectionReason.INVALID, exchange);
            new FixedResponse(e.status(), TEXT, e.getMessage() + "\n").send(exchange);
            return;
        }
        switch (connections.onRequestStarted(exchange)) {
            case ADMITTED -> next.handleRequest(exchange);
            case NO_CONNECTION -> reject(exchange, RejectionReason.CONNECTION_LIMIT, TOO_MANY_CONNECTIONS);
            case NO_MEMORY -> reject(exchange, RejectionReason.REQUEST_MEMORY, NO_MEMORY);
        }
    }

    private static void reject(HttpServerExchange exchange, RejectionReason reason, FixedResponse response) {
        record(reason, exchange);
        response.send(exchange, RETRY_AFTER_NANOS);
    }

    private static void record(RejectionReason reason, HttpServerExchange exchange) {
        reason.record(exchange.getRequestHeaders().getFirst("X-Request-Id"));
    }
}
