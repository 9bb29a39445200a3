package fawnlb.platform;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.FixedResponse;
import fawnlb.client.RequestForwarder;
import fawnlb.client.RequestIds;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.http.BodyReference;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.ResourceExhaustedException;
import fawnlb.metrics.RejectionReason;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.RequestProxy;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.Supplier;

/** Handles the platform's requests: chat completions, and the readiness of this process. */
public final class PlatformHandler implements HttpHandler {
    private static final String READINESS_PATH = "/health/ready";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private final RequestForwarder forwarder;
    private final RequestBodyReader bodyReader;
    private final RequestIds requestIds;
    private final PlatformRequestReader requestReader;
    private final Supplier<Readiness> readiness;

    /**
     * Creates a handler. The first three collaborators are shared with other handlers.
     *
     * @param readiness the current readiness of this process
     */
    public PlatformHandler(
            RequestProxy requestProxy,
            RequestBodyReader bodyReader,
            RequestIds requestIds,
            LoadBalancerSettings settings,
            BodyPolicy bodyPolicy,
            Supplier<Readiness> readiness) {
        this.forwarder = new RequestForwarder(requestProxy);
        this.bodyReader = bodyReader;
        this.requestIds = requestIds;
        this.requestReader = new PlatformRequestReader(settings, bodyReader, bodyPolicy);
        this.readiness = readiness;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case READINESS_PATH -> sendReadiness(exchange);
            case COMPLETIONS_PATH -> handleCompletion(exchange);
            default -> sendText(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void sendReadiness(HttpServerExchange exchange) {
        Readiness current = readiness.get();
        sendText(exchange, current.statusCode(), current.text());
    }

    private void handleCompletion(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            bodyReader.receive(exchange, this::handleBody, PlatformHandler::sendText);
        } else {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            sendText(exchange, StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here");
        }
    }

    private void handleBody(HttpServerExchange exchange, BodyReference body) {
        OutboundRequest.ResponseSummary responseSummary = OutboundRequest.ResponseSummary.withoutUsage();
        String requestId = null;
        IncomingRequest request;
        try {
            requestId = requestReader.readRequestId(exchange);
            request = requestReader.read(exchange, requestId, body, responseSummary);
        } catch (InvalidRequestException e) {
            RejectionReason.INVALID.record(requestId);
            sendText(exchange, e.status(), e.getMessage());
            return;
        } catch (ResourceExhaustedException e) {
            RejectionReason.BODY_MEMORY.record(requestId);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, e.retryAfterSeconds());
            sendText(exchange, StatusCodes.SERVICE_UNAVAILABLE, e.getMessage());
            return;
        }
        RequestIds.Registration registration = requestIds.tryRegister(requestId, request.classIndex(), exchange);
        if (registration != null) {
            forwarder.forward(exchange, request, new PlatformResponseFormatter(responseSummary), registration);
        } else {
            RejectionReason.DUPLICATE_ID.record(requestId);
            sendText(exchange, StatusCodes.CONFLICT, "X-Request-Id is that of a request that is open or may have run");
        }
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        new FixedResponse(status, "text/plain", text + "\n").send(exchange);
    }
}
