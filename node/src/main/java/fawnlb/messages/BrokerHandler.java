package fawnlb.messages;

import fawnlb.backend.OutboundRequest.ResponseSummary;
import fawnlb.client.RequestForwarder;
import fawnlb.client.RequestIds;
import fawnlb.contract.Budget;
import fawnlb.contract.Contract;
import fawnlb.contract.Contracts;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.http.BodyReference;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.ResourceExhaustedException;
import fawnlb.proxy.IncomingRequest;
import fawnlb.proxy.RequestProxy;
import fawnlb.translation.Dialect;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/**
 * Handles the requests of teams' services. Clients speak either dialect. A request is admitted if a contract has its
 * key, allows its class and model, and has enough budget; then the proxy forwards it like the platform's requests.
 */
@EventLoopOnly
public final class BrokerHandler implements HttpHandler {
    private static final HttpString RESPONSE_REQUEST_ID = new HttpString("request-id");

    private final RequestForwarder forwarder;
    private final RequestBodyReader bodyReader;
    private final RequestIds requestIds;
    private final BrokerRequestReader requestReader;
    private final Contracts contracts;
    private final Timers timers;
    private final RequestLog requestLog;

    /** Creates a handler. The collaborators are shared with other handlers, apart from the contracts and the log. */
    public BrokerHandler(
            RequestProxy requestProxy,
            RequestBodyReader bodyReader,
            RequestIds requestIds,
            BrokerRequestReader requestReader,
            Contracts contracts,
            Timers timers,
            RequestLog requestLog) {
        this.forwarder = new RequestForwarder(requestProxy);
        this.bodyReader = bodyReader;
        this.requestIds = requestIds;
        this.requestReader = requestReader;
        this.contracts = contracts;
        this.timers = timers;
        this.requestLog = requestLog;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Dialect dialect = exchange.getRequestPath().equals(Dialect.CHAT.path()) ? Dialect.CHAT : Dialect.MESSAGES;
        if (!exchange.getRequestPath().equals(dialect.path())) {
            reject(exchange, dialect, StatusCodes.NOT_FOUND, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            reject(exchange, dialect, StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here");
        } else {
            bodyReader.receive(
                    exchange,
                    (completed, body) -> handleBody(completed, dialect, body),
                    (failed, status, text) -> reject(failed, dialect, status, text));
        }
    }

    private void handleBody(HttpServerExchange exchange, Dialect dialect, BodyReference body) {
        RequestRecord record = startRecord(exchange, dialect);
        try {
            admit(exchange, record, body);
        } catch (RequestRejectedException rejection) {
            rejection.reason().record(record.id());
            reject(exchange, record, rejection);
        }
    }

    private RequestRecord startRecord(HttpServerExchange exchange, Dialect dialect) {
        return new RequestRecord(BrokerRequestReader.requestId(exchange), dialect, timers.now());
    }

    private void admit(HttpServerExchange exchange, RequestRecord record, BodyReference body)
            throws RequestRejectedException {
        Contract contract = authenticate(exchange);
        record.setTeam(contract.team());
        ResponseSummary responseSummary = ResponseSummary.withUsage();
        BrokerRequest request = read(exchange, contract, record, responseSummary, body);
        checkContract(contract, record, request.maxTokens());
        RequestIds.Registration registration = registerId(exchange, record, request.incoming());
        ReservedBudget budget = reserve(contract.budget(), request.maxTokens());
        boolean streaming = request.completion().stream();
        exchange.getResponseHeaders().put(RESPONSE_REQUEST_ID, record.id());
        forwarder.forward(
                exchange,
                request.incoming(),
                new BrokerResponseFormatter(record, streaming, responseSummary, budget, requestLog, timers),
                registration);
    }

    private BrokerRequest read(
            HttpServerExchange exchange,
            Contract contract,
            RequestRecord record,
            ResponseSummary responseSummary,
            BodyReference body)
            throws RequestRejectedException {
        try {
            return requestReader.read(exchange, contract, record, responseSummary, body);
        } catch (InvalidRequestException e) {
            throw new RequestRejectedException(e.status(), e.getMessage());
        } catch (ResourceExhaustedException e) {
            throw RequestRejectedException.resourceExhausted(e);
        }
    }

    private Contract authenticate(HttpServerExchange exchange) throws RequestRejectedException {
        return contracts
                .findByKey(BrokerRequestReader.teamKey(exchange))
                .orElseThrow(() -> new RequestRejectedException(StatusCodes.UNAUTHORIZED, "no team has this key"));
    }

    private static void checkContract(Contract contract, RequestRecord record, long maxTokens)
            throws RequestRejectedException {
        String violation =
                contract.violation(record.requestClass(), record.model()).orElse(null);
        if (violation != null) {
            throw new RequestRejectedException(StatusCodes.FORBIDDEN, violation);
        }
        if (!contract.budget().fitsWindow(maxTokens)) {
            throw new RequestRejectedException(
                    StatusCodes.BAD_REQUEST, "the request is larger than the team's whole budget");
        }
    }

    private RequestIds.Registration registerId(
            HttpServerExchange exchange, RequestRecord record, IncomingRequest request)
            throws RequestRejectedException {
        RequestIds.Registration registration = requestIds.tryRegister(record.id(), request.classIndex(), exchange);
        if (registration == null) {
            throw new RequestRejectedException(
                    StatusCodes.CONFLICT, "X-Request-Id is that of a request that is open or may have run");
        }
        return registration;
    }

    private ReservedBudget reserve(Budget budget, long maxTokens) throws RequestRejectedException {
        Budget.Reservation reservation = budget.reserve(timers.now(), maxTokens);
        if (!reservation.isGranted()) {
            throw RequestRejectedException.budgetExhausted(reservation.waitNanos());
        }
        return new ReservedBudget(budget, reservation);
    }

    private void reject(HttpServerExchange exchange, Dialect dialect, int status, String text) {
        reject(exchange, startRecord(exchange, dialect), new RequestRejectedException(status, text));
    }

    /** Responds to a request that no attempt is made for; it is logged like any other. */
    private void reject(HttpServerExchange exchange, RequestRecord record, RequestRejectedException rejection) {
        exchange.getResponseHeaders().put(RESPONSE_REQUEST_ID, record.id());
        BrokerResponseFormatter.errorResponse(record, rejection.status(), rejection.getMessage())
                .send(exchange, rejection.retryAfterNanos());
        requestLog.write(record, RequestEnd.rejected(rejection.status()), timers.now());
    }
}
