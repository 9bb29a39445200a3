package fawnlb.messages;

import fawnlb.backend.OutboundRequest;
import fawnlb.backend.RequestBodies;
import fawnlb.client.AffinityKeys;
import fawnlb.contract.Contract;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.http.BodyReference;
import fawnlb.http.InvalidRequestException;
import fawnlb.http.RequestBodyReader;
import fawnlb.http.RequestHeadValidator;
import fawnlb.http.ResourceExhaustedException;
import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.CompletionRequest;
import fawnlb.translation.Dialect;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Reads teams' requests: from a head and a whole body to what the proxy forwards. */
@EventLoopOnly
public final class BrokerRequestReader {
    private static final String CLASS = "X-Class";
    private static final String DEADLINE_MS = "X-Deadline-Ms";
    private static final String SESSION_KEY = "X-Key";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String API_KEY = "x-api-key";
    private static final String BEARER = "Bearer ";
    private static final Pattern VALID_REQUEST_ID = Pattern.compile("[!-~]{1,128}");
    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,8}");
    private static final long MAX_CLIENT_DEADLINE_MS = TimeUnit.DAYS.toMillis(1);

    private final LoadBalancerSettings settings;
    private final RequestBodyReader bodyReader;
    private final Set<Dialect> backendDialects;

    /**
     * Creates a reader.
     *
     * @param bodyReader has received the bodies, and keeps the translated ones
     * @param backendDialects the dialects that backends speak
     */
    public BrokerRequestReader(
            LoadBalancerSettings settings, RequestBodyReader bodyReader, Set<Dialect> backendDialects) {
        this.settings = settings;
        this.bodyReader = bodyReader;
        this.backendDialects = Set.copyOf(backendDialects);
    }

    /** Returns the client's id for its request, or a new one if it gave none that can be forwarded. */
    static String requestId(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        return id != null && VALID_REQUEST_ID.matcher(id).matches()
                ? id
                : UUID.randomUUID().toString();
    }

    /** Returns the team's key, which each dialect sends in a header of its own, or null. */
    static String teamKey(HttpServerExchange exchange) {
        String key = exchange.getRequestHeaders().getFirst(API_KEY);
        if (key != null) {
            return key;
        }
        String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return authorization != null && authorization.startsWith(BEARER)
                ? authorization.substring(BEARER.length()).trim()
                : null;
    }

    /**
     * Reads a request, and notes its class and model in the record.
     *
     * @param responseSummary is filled in when the response comes
     * @throws InvalidRequestException if headers or body are invalid; its message tells the client what is wrong
     * @throws ResourceExhaustedException if there is no room for the translated body
     */
    BrokerRequest read(
            HttpServerExchange exchange,
            Contract contract,
            RequestRecord record,
            OutboundRequest.ResponseSummary responseSummary,
            BodyReference body)
            throws InvalidRequestException, ResourceExhaustedException {
        CompletionRequest completion = CompletionRequest.decode(record.dialect(), body.bytes());
        record.setClassAndModel(requestClass(exchange, contract), completion.model());
        checkClassIsServed(record.requestClass(), contract);
        RequestBodies bodies = requestBodies(exchange, record.dialect(), completion, body);
        OutboundRequest outbound = outboundRequest(exchange, record, completion, responseSummary, bodies);
        return new BrokerRequest(completion, incomingRequest(exchange, contract, record, completion, outbound));
    }

    /** Returns the class that the request names, as its team's contract spells it, or the contract's default. */
    private String requestClass(HttpServerExchange exchange, Contract contract) {
        String requestClass = exchange.getRequestHeaders().getFirst(CLASS);
        if (requestClass == null) {
            return contract.classes().get(0);
        }
        int index = classIndex(requestClass);
        return contract.classes().stream()
                .filter(allowed -> index >= 0 && classIndex(allowed) == index)
                .findFirst()
                .orElse(requestClass);
    }

    /** Rejects a class that the contract allows and the settings don't have; other classes violate the contract. */
    private void checkClassIsServed(String requestClass, Contract contract) throws InvalidRequestException {
        if (classIndex(requestClass) < 0 && contract.classes().contains(requestClass)) {
            throw invalidHeader(CLASS, "class '" + requestClass + "' is not served here");
        }
    }

    private int classIndex(String requestClass) {
        return settings.names().classIndex(requestClass);
    }

    /** Returns the body in the dialects that backends speak, which is at least one. */
    private RequestBodies requestBodies(
            HttpServerExchange exchange, Dialect dialect, CompletionRequest completion, BodyReference body)
            throws InvalidRequestException, ResourceExhaustedException {
        BodyReference translated = backendDialects.contains(dialect.other())
                ? bodyReader.keep(exchange, completion.encode(dialect.other()))
                : null;
        if (backendDialects.contains(dialect)) {
            return new RequestBodies(dialect, body, translated);
        }
        body.close();
        return new RequestBodies(dialect, null, translated);
    }

    /** Returns the request as it is sent to backends. */
    private static OutboundRequest outboundRequest(
            HttpServerExchange exchange,
            RequestRecord record,
            CompletionRequest completion,
            OutboundRequest.ResponseSummary responseSummary,
            RequestBodies bodies)
            throws InvalidRequestException {
        Dialect dialect = record.dialect();
        String query = exchange.getQueryString();
        return new OutboundRequest(
                dialect,
                dialect.path() + (query.isEmpty() ? "" : '?' + query),
                record.id(),
                RequestHeadValidator.singleHeader(exchange, OutboundRequest.IDEMPOTENCY_KEY),
                completion.stream(),
                bodies,
                responseSummary);
    }

    /** Returns what the load balancer decides on. */
    private IncomingRequest incomingRequest(
            HttpServerExchange exchange,
            Contract contract,
            RequestRecord record,
            CompletionRequest completion,
            OutboundRequest outbound)
            throws InvalidRequestException {
        String sessionKey = exchange.getRequestHeaders().getFirst(SESSION_KEY);
        return new IncomingRequest(
                classIndex(record.requestClass()),
                settings.names().tenantIndex(contract.tenant()),
                AffinityKeys.parse(sessionKey != null ? sessionKey : completion.user()),
                AffinityKeys.parse(completion.system()),
                timeoutNanos(exchange, contract),
                completion.promptTokens(),
                completion.systemTokens(),
                completion.sampling().maxTokens(),
                false,
                outbound);
    }

    /** Returns the contract's deadline, or the client's own if that is sooner. */
    private static long timeoutNanos(HttpServerExchange exchange, Contract contract) throws InvalidRequestException {
        String text = exchange.getRequestHeaders().getFirst(DEADLINE_MS);
        if (text == null) {
            return contract.deadlineNanos();
        }
        if (!MILLISECONDS.matcher(text).matches() || Long.parseLong(text) > MAX_CLIENT_DEADLINE_MS) {
            throw invalidHeader(DEADLINE_MS, "X-Deadline-Ms: expected whole milliseconds up to a day");
        }
        return Math.min(contract.deadlineNanos(), TimeUnit.MILLISECONDS.toNanos(Long.parseLong(text)));
    }

    private static InvalidRequestException invalidHeader(String name, String detail) {
        return new InvalidRequestException(StatusCodes.BAD_REQUEST, name, detail);
    }
}
