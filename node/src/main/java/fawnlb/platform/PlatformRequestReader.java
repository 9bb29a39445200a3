package fawnlb.platform;

import fawnlb.backend.OutboundRequest;
import fawnlb.backend.RequestBodies;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.http.BodyReference;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.RequestHeadValidator;
import fawnlb.http.ResourceExhaustedException;
import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.CompletionRequest;
import fawnlb.translation.Dialect;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;

/** Reads the platform's requests: from a head and a whole body to what the proxy forwards. */
final class PlatformRequestReader {
    private static final String REQUEST_ID = "X-Request-Id";

    private final RequestHeaderParser headerParser;
    private final RequestBodyReader bodyReader;
    private final BodyPolicy bodyPolicy;

    PlatformRequestReader(LoadBalancerSettings settings, RequestBodyReader bodyReader, BodyPolicy bodyPolicy) {
        this.headerParser = new RequestHeaderParser(settings);
        this.bodyReader = bodyReader;
        this.bodyPolicy = bodyPolicy;
    }

    /**
     * Reads the request's id.
     *
     * @throws InvalidRequestException if the request has none, or one that can't be forwarded
     */
    String readRequestId(HttpServerExchange exchange) throws InvalidRequestException {
        String id = RequestHeadValidator.singleHeader(exchange, REQUEST_ID);
        if (id == null || !id.matches("[!-~]{1,128}")) {
            throw new InvalidRequestException(
                    StatusCodes.BAD_REQUEST, REQUEST_ID, "X-Request-Id: expected one, of up to 128 visible characters");
        }
        return id;
    }

    /**
     * Reads a request whose id has been read.
     *
     * @param responseSummary is filled in when the response comes
     * @throws InvalidRequestException if headers or body are invalid; its message tells the client what is wrong
     * @throws ResourceExhaustedException if there is no room for the translated body
     */
    IncomingRequest read(
            HttpServerExchange exchange,
            String requestId,
            BodyReference body,
            OutboundRequest.ResponseSummary responseSummary)
            throws InvalidRequestException, ResourceExhaustedException {
        if (body.bytes().length == 0) {
            throw new InvalidRequestException(
                    StatusCodes.BAD_REQUEST, InvalidRequestException.BODY, "the request has no body");
        }
        RequestBodies bodies = new RequestBodies(Dialect.CHAT, body, translate(exchange, body.bytes()));
        OutboundRequest outbound = new OutboundRequest(
                Dialect.CHAT,
                pathWithQuery(exchange),
                requestId,
                RequestHeadValidator.singleHeader(exchange, OutboundRequest.IDEMPOTENCY_KEY),
                true,
                bodies,
                responseSummary);
        return headerParser.parse(name -> RequestHeadValidator.singleHeader(exchange, name), outbound);
    }

    /** Returns the body in the other dialect, or null if no backend speaks it. */
    private BodyReference translate(HttpServerExchange exchange, byte[] body)
            throws InvalidRequestException, ResourceExhaustedException {
        return switch (bodyPolicy) {
            case FORWARD_UNREAD -> null;
            case TRANSLATE ->
                bodyReader.keep(
                        exchange, CompletionRequest.decode(Dialect.CHAT, body).encode(Dialect.MESSAGES));
        };
    }

    private static String pathWithQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }
}
