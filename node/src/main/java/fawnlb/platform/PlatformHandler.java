package fawnlb.platform;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.ClientExchange;
import fawnlb.client.FixedResponse;
import fawnlb.client.InFlightRequestIds;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.Mailbox;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.RequestHeadValidator;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.RequestProxy;
import fawnlb.translation.CompletionRequest;
import fawnlb.translation.Dialect;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.function.Supplier;

/** The platform's protocol for clients: a thin front of the core. */
public final class PlatformHandler implements HttpHandler {
    private static final int MAILBOX_CAPACITY = 64;
    private static final long OVERLOAD_RETRY_AFTER_NANOS = 1_000_000_000;

    private final RequestProxy requestProxy;
    private final RequestBodyReader bodyReader;
    private final InFlightRequestIds inFlightIds;
    private final RequestHeaderParser headerParser;
    private final boolean translationRequired;
    private final Supplier<Readiness> readiness;

    /** Mixed: some backends speak the other dialect, so that every request must be one that can be translated. */
    public PlatformHandler(
            RequestProxy requestProxy,
            RequestBodyReader bodyReader,
            InFlightRequestIds inFlightIds,
            LoadBalancerSettings settings,
            boolean translationRequired,
            Supplier<Readiness> readiness) {
        this.requestProxy = requestProxy;
        this.bodyReader = bodyReader;
        this.inFlightIds = inFlightIds;
        this.headerParser = new RequestHeaderParser(settings);
        this.translationRequired = translationRequired;
        this.readiness = readiness;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/health/ready" -> sendReadiness(exchange);
            case "/v1/chat/completions" -> {
                if (exchange.getRequestMethod().equals(Methods.POST)) {
                    bodyReader.receive(exchange, this::handleBody, PlatformHandler::sendText);
                } else {
                    exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
                    sendText(exchange, StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here");
                }
            }
            default -> sendText(exchange, StatusCodes.NOT_FOUND, "no such path");
        }
    }

    private void sendReadiness(HttpServerExchange exchange) {
        Readiness current = readiness.get();
        sendText(exchange, current.statusCode(), current.text());
    }

    private void handleBody(HttpServerExchange exchange, byte[] body) {
        IncomingRequest request;
        OutboundRequest.ResponseSummary responseSummary = OutboundRequest.ResponseSummary.withoutUsage();
        String id;
        try {
            id = requestId(exchange);
            if (body.length == 0) {
                throw new InvalidRequestException(
                        StatusCodes.BAD_REQUEST, InvalidRequestException.BODY, "the request has no body");
            }
            byte[] translated = translationRequired
                    ? CompletionRequest.decode(Dialect.CHAT, body).encode(Dialect.MESSAGES)
                    : null;
            request = headerParser.parse(
                    name -> RequestHeadValidator.singleHeader(exchange, name),
                    new OutboundRequest(
                            Dialect.CHAT,
                            pathWithQuery(exchange),
                            id,
                            RequestHeadValidator.singleHeader(exchange, OutboundRequest.IDEMPOTENCY_KEY),
                            true,
                            body,
                            translated,
                            responseSummary));
        } catch (InvalidRequestException e) {
            sendText(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
            return;
        }
        if (!inFlightIds.tryRegister(id, exchange)) {
            sendText(exchange, StatusCodes.CONFLICT, "X-Request-Id is that of an open request");
            return;
        }
        ClientExchange client = new ClientExchange(
                exchange,
                new Mailbox(exchange.getIoThread(), MAILBOX_CAPACITY),
                new PlatformResponseFormatter(responseSummary));
        RequestProxy.RequestHandle handle = requestProxy.submit(request, client);
        if (handle == null) {
            client.sendRejection(null, OVERLOAD_RETRY_AFTER_NANOS);
        } else {
            client.attach(handle);
        }
    }

    private static String requestId(HttpServerExchange exchange) throws InvalidRequestException {
        String id = RequestHeadValidator.singleHeader(exchange, "X-Request-Id");
        if (id == null || !id.matches("[!-~]{1,128}")) {
            throw new InvalidRequestException(
                    StatusCodes.BAD_REQUEST,
                    "X-Request-Id",
                    "X-Request-Id: expected one, of up to 128 visible characters");
        }
        return id;
    }

    private static String pathWithQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        new FixedResponse(status, "text/plain", text + "\n").send(exchange);
    }
}
