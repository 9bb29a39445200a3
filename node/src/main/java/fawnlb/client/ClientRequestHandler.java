package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestHeadValidator;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * The first handler of every client request. Rejects a request whose head is invalid and a request on a connection over
 * the connection limit, and passes any other request on.
 */
@EventLoopOnly
public final class ClientRequestHandler implements HttpHandler {
    private static final String TEXT = "text/plain";
    private static final FixedResponse TOO_MANY_CONNECTIONS =
            new FixedResponse(503, TEXT, "no room for more connections; try again later\n");
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
            new FixedResponse(e.status(), TEXT, e.getMessage() + "\n").send(exchange);
            return;
        }
        if (connections.onRequestStarted(exchange)) {
            next.handleRequest(exchange);
        } else {
            TOO_MANY_CONNECTIONS.send(exchange, RETRY_AFTER_NANOS);
        }
    }
}
