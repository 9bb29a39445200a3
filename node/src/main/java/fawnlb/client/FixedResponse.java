package fawnlb.client;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/** A response that the load balancer makes itself, in contrast to one that it streams from a backend. */
public record FixedResponse(int status, String contentType, String body) {
    private static final long NO_RETRY_AFTER = 0;

    /** Sends the response on the exchange. Must be called on the exchange's I/O thread, before a response has begun. */
    public void send(HttpServerExchange exchange) {
        send(exchange, NO_RETRY_AFTER);
    }

    /**
     * Sends the response on the exchange. Must be called on the exchange's I/O thread, before a response has begun.
     *
     * @param retryAfterNanos the delay that {@code Retry-After} asks for, in nanoseconds; 0 for a response without that
     *     header
     */
    public void send(HttpServerExchange exchange, long retryAfterNanos) {
        if (!exchange.isRequestComplete()) {
            abandonRequest(exchange);
        }
        exchange.setStatusCode(status);
        if (retryAfterNanos > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RetryAfterHeader.formatSeconds(retryAfterNanos));
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(body);
    }

    /** Keeps Undertow from reading the rest of the request, which may be 60 MB, before it sends the response. */
    private static void abandonRequest(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        LingeringClose.markRequestIncomplete(exchange);
        Connectors.terminateRequest(exchange);
    }
}
