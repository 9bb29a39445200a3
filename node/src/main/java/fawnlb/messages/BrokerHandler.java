package fawnlb.messages;

import fawnlb.backend.OutboundRequest;
import fawnlb.client.AffinityKeys;
import fawnlb.client.ClientExchange;
import fawnlb.client.FixedResponse;
import fawnlb.client.InFlightRequestIds;
import fawnlb.contract.Contract;
import fawnlb.contract.Contracts;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.RequestHeadValidator;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.RequestProxy;
import fawnlb.translation.CompletionRequest;
import fawnlb.translation.Dialect;
import fawnlb.translation.ErrorBody;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.UUID;

/**
 * The broker between teams' services: clients of either dialect, under their teams' contracts and budgets, on the same
 * core as the platform's front.
 */
public final class BrokerHandler implements HttpHandler {
    private static final HttpString REQUEST_ID = new HttpString("request-id");
    private static final int MAILBOX_CAPACITY = 64;
    private static final long OVERLOAD_RETRY_AFTER_NANOS = 1_000_000_000;
    private static final long MAX_CLIENT_DEADLINE_MS = 86_400_000;

    private final RequestProxy requestProxy;
    private final RequestBodyReader bodyReader;
    private final InFlightRequestIds inFlightIds;
    private final LoadBalancerSettings settings;
    private final Contracts contracts;
    private final Timers timers;
    private final RequestLog requestLog;

    public BrokerHandler(
            RequestProxy requestProxy,
            RequestBodyReader bodyReader,
            InFlightRequestIds inFlightIds,
            LoadBalancerSettings settings,
            Contracts contracts,
            Timers timers,
            RequestLog requestLog) {
        this.requestProxy = requestProxy;
        this.bodyReader = bodyReader;
        this.inFlightIds = inFlightIds;
        this.settings = settings;
        this.contracts = contracts;
        this.timers = timers;
        this.requestLog = requestLog;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Dialect dialect = exchange.getRequestPath().equals(Dialect.CHAT.path()) ? Dialect.CHAT : Dialect.MESSAGES;
        if (!exchange.getRequestPath().equals(dialect.path())) {
            new RejectionWriter(exchange, dialect).reject(StatusCodes.NOT_FOUND, "no such path", 0);
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            new RejectionWriter(exchange, dialect)
                    .reject(StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here", 0);
        } else {
            bodyReader.receive(
                    exchange,
                    (e, body) -> handleBody(e, dialect, body),
                    (e, status, text) -> new RejectionWriter(e, dialect).reject(status, text, 0));
        }
    }

    /** An answer given before any attempt; it is logged like every other. */
    private final class RejectionWriter {
        private final HttpServerExchange exchange;
        private final RequestRecord record;

        RejectionWriter(HttpServerExchange exchange, Dialect dialect) {
            this(exchange, new RequestRecord(requestId(exchange), dialect, timers.now()));
        }

        RejectionWriter(HttpServerExchange exchange, RequestRecord record) {
            this.exchange = exchange;
            this.record = record;
        }

        void reject(int status, String text, long retryAfterNanos) {
            exchange.getResponseHeaders().put(REQUEST_ID, record.id());
            new FixedResponse(status, "application/json", ErrorBody.json(record.dialect(), status, text))
                    .send(exchange, retryAfterNanos);
            requestLog.write(record, "rejected", status, null, null, timers.now());
        }
    }

    private static String requestId(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst("X-Request-Id");
        return given != null && given.matches("[!-~]{1,128}")
                ? given
                : UUID.randomUUID().toString();
    }

    private void handleBody(HttpServerExchange exchange, Dialect dialect, byte[] body) {
        RequestRecord record = new RequestRecord(requestId(exchange), dialect, timers.now());
        RejectionWriter rejection = new RejectionWriter(exchange, record);
        Contract contract = contracts.findByKey(teamKey(exchange));
        if (contract == null) {
            rejection.reject(StatusCodes.UNAUTHORIZED, "no team has this key", 0);
            return;
        }
        record.team(contract.team());
        CompletionRequest completion;
        IncomingRequest request;
        OutboundRequest.ResponseSummary responseSummary = new OutboundRequest.ResponseSummary(true);
        try {
            completion = CompletionRequest.decode(dialect, body);
            request = incomingRequest(exchange, contract, completion, record, responseSummary, body);
        } catch (CompletionRequest.InvalidCompletionRequestException
                | InvalidRequestException
                | IllegalArgumentException e) {
            rejection.reject(StatusCodes.BAD_REQUEST, e.getMessage(), 0);
            return;
        }
        long estimatedTokens = completion.promptTokens() + completion.sampling().maxTokens();
        if (!checkContract(contract, record, completion, estimatedTokens, rejection)) {
            return;
        }
        if (!inFlightIds.tryRegister(record.id(), exchange)) {
            rejection.reject(StatusCodes.CONFLICT, "X-Request-Id is that of an open request", 0);
            return;
        }
        long reservedAtNanos = timers.now();
        long waitNanos = contract.budget().reserve(reservedAtNanos, estimatedTokens);
        if (waitNanos > 0) {
            rejection.reject(StatusCodes.TOO_MANY_REQUESTS, "the team's budget is used up", waitNanos);
            return;
        }
        exchange.getResponseHeaders().put(REQUEST_ID, record.id());
        forward(
                exchange,
                request,
                new BrokerResponseFormatter(
                        record,
                        completion.stream(),
                        responseSummary,
                        requestLog,
                        timers,
                        usedTokens -> contract.budget()
                                .settle(
                                        reservedAtNanos,
                                        estimatedTokens,
                                        usedTokens < 0 ? estimatedTokens : usedTokens)));
    }

    /** Whether the team's contract allows the request at all; if not, it has been refused. */
    private static boolean checkContract(
            Contract contract,
            RequestRecord record,
            CompletionRequest completion,
            long estimatedTokens,
            RejectionWriter rejection) {
        String objection = contract.violation(record.requestClass(), completion.model());
        if (objection != null) {
            rejection.reject(StatusCodes.FORBIDDEN, objection, 0);
            return false;
        }
        if (!contract.budget().fitsWindow(estimatedTokens)) {
            rejection.reject(StatusCodes.BAD_REQUEST, "the request is larger than the team's whole budget", 0);
            return false;
        }
        return true;
    }

    private void forward(HttpServerExchange exchange, IncomingRequest request, BrokerResponseFormatter replies) {
        ClientExchange client =
                new ClientExchange(exchange, new Mailbox(exchange.getIoThread(), MAILBOX_CAPACITY), replies);
        RequestProxy.RequestHandle handle = requestProxy.submit(request, client);
        if (handle == null) {
            client.sendRejection(null, OVERLOAD_RETRY_AFTER_NANOS);
        } else {
            client.attach(handle);
        }
    }

    /** The key stands where either dialect puts it. */
    private static String teamKey(HttpServerExchange exchange) {
        String key = exchange.getRequestHeaders().getFirst("x-api-key");
        String bearer = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return key != null
                ? key
                : bearer != null && bearer.startsWith("Bearer ")
                        ? bearer.substring(7).trim()
                        : null;
    }

    private IncomingRequest incomingRequest(
            HttpServerExchange exchange,
            Contract contract,
            CompletionRequest completion,
            RequestRecord record,
            OutboundRequest.ResponseSummary responseSummary,
            byte[] body)
            throws InvalidRequestException {
        String requestedClass = exchange.getRequestHeaders().getFirst("X-Class");
        String requestClass = requestedClass == null ? contract.classes().get(0) : requestedClass;
        record.setClassAndModel(requestClass, completion.model());
        int classIndex = settings.names().classes().indexOf(requestClass);
        if (classIndex < 0 && contract.classes().contains(requestClass)) {
            throw new IllegalArgumentException("class '" + requestClass + "' is not served here");
        }
        String query = exchange.getQueryString();
        OutboundRequest outbound = new OutboundRequest(
                record.dialect(),
                record.dialect().path() + (query.isEmpty() ? "" : '?' + query),
                record.id(),
                RequestHeadValidator.singleHeader(exchange, OutboundRequest.IDEMPOTENCY_KEY),
                completion.stream(),
                body,
                completion.encode(record.dialect().other()),
                responseSummary);
        String session = exchange.getRequestHeaders().getFirst("X-Key");
        return new IncomingRequest(
                classIndex,
                settings.names().tenants().indexOf(contract.tenant()),
                AffinityKeys.parse(session != null ? session : completion.user()),
                AffinityKeys.parse(completion.system()),
                clientDeadlineNanos(exchange, contract),
                completion.promptTokens(),
                completion.systemTokens(),
                completion.sampling().maxTokens(),
                false,
                outbound);
    }

    /** The contract's deadline, or the client's own if that is sooner. */
    private static long clientDeadlineNanos(HttpServerExchange exchange, Contract contract) {
        String text = exchange.getRequestHeaders().getFirst("X-Deadline-Ms");
        if (text == null) {
            return contract.deadlineNanos();
        }
        if (!text.matches("[0-9]{1,8}") || Long.parseLong(text) > MAX_CLIENT_DEADLINE_MS) {
            throw new IllegalArgumentException("X-Deadline-Ms: expected whole milliseconds up to a day");
        }
        return Math.min(contract.deadlineNanos(), Long.parseLong(text) * 1_000_000);
    }
}
