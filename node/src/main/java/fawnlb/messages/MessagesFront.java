package fawnlb.messages;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.backend.Parcel;
import fawnlb.client.ClientExchange;
import fawnlb.client.Keys;
import fawnlb.client.OpenIds;
import fawnlb.client.Replies;
import fawnlb.contract.Contract;
import fawnlb.contract.Contracts;
import fawnlb.decision.Balancer.Settings;
import fawnlb.dialect.Dialect;
import fawnlb.dialect.ErrorBody;
import fawnlb.dialect.Prompt;
import fawnlb.flow.Ask;
import fawnlb.flow.Flows;
import fawnlb.http.BodyReader;
import fawnlb.http.Heads;
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
public final class MessagesFront implements HttpHandler {
    private static final HttpString REQUEST_ID = new HttpString("request-id");
    private static final int MAILBOX = 64;
    private static final long NO_ROOM_RETRY = 1_000_000_000;
    private static final long MAX_WAIT_MS = 86_400_000;

    private final Flows flows;
    private final BodyReader bodies;
    private final OpenIds ids;
    private final Settings settings;
    private final Contracts contracts;
    private final Timers timers;
    private final FlowLog log;

    public MessagesFront(
            Flows flows,
            BodyReader bodies,
            OpenIds ids,
            Settings settings,
            Contracts contracts,
            Timers timers,
            FlowLog log) {
        this.flows = flows;
        this.bodies = bodies;
        this.ids = ids;
        this.settings = settings;
        this.contracts = contracts;
        this.timers = timers;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Dialect dialect = exchange.getRequestPath().equals(Dialect.CHAT.path()) ? Dialect.CHAT : Dialect.MESSAGES;
        if (!exchange.getRequestPath().equals(dialect.path())) {
            new Refusal(exchange, dialect).say(StatusCodes.NOT_FOUND, "no such path", 0);
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            new Refusal(exchange, dialect).say(StatusCodes.METHOD_NOT_ALLOWED, "only POST is served here", 0);
        } else {
            bodies.receive(
                    exchange,
                    (e, body) -> take(e, dialect, body),
                    (e, status, text) -> new Refusal(e, dialect).say(status, text, 0));
        }
    }

    /** An answer given before any attempt; it is logged like every other. */
    private final class Refusal {
        private final HttpServerExchange exchange;
        private final FlowRecord record;

        Refusal(HttpServerExchange exchange, Dialect dialect) {
            this(exchange, new FlowRecord(requestId(exchange), dialect, timers.now()));
        }

        Refusal(HttpServerExchange exchange, FlowRecord record) {
            this.exchange = exchange;
            this.record = record;
        }

        void say(int status, String text, long retryAfter) {
            exchange.getResponseHeaders().put(REQUEST_ID, record.id());
            ClientExchange.write(
                    exchange,
                    new Replies.Reply(status, "application/json", ErrorBody.write(record.dialect(), status, text)),
                    retryAfter);
            log.write(record, "rejected", status, null, null, timers.now());
        }
    }

    private static String requestId(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst("X-Request-Id");
        return given != null && given.matches("[!-~]{1,128}")
                ? given
                : UUID.randomUUID().toString();
    }

    private void take(HttpServerExchange exchange, Dialect dialect, byte[] body) {
        FlowRecord record = new FlowRecord(requestId(exchange), dialect, timers.now());
        Refusal refusal = new Refusal(exchange, record);
        Contract contract = contracts.find(key(exchange));
        if (contract == null) {
            refusal.say(StatusCodes.UNAUTHORIZED, "no team has this key", 0);
            return;
        }
        record.team(contract.team());
        Prompt prompt;
        Ask ask;
        Parcel.Tally tally = new Parcel.Tally(true);
        try {
            prompt = Prompt.read(dialect, body);
            ask = ask(exchange, contract, prompt, record, tally, body);
        } catch (Prompt.Bad | IllegalArgumentException e) {
            refusal.say(StatusCodes.BAD_REQUEST, e.getMessage(), 0);
            return;
        }
        long wanted = prompt.promptTokens() + prompt.maxTokens();
        if (!allowed(contract, record, prompt, wanted, refusal)) {
            return;
        }
        if (!ids.open(record.id(), exchange)) {
            refusal.say(StatusCodes.CONFLICT, "X-Request-Id is that of an open request", 0);
            return;
        }
        long bookedAt = timers.now();
        long wait = contract.budget().book(bookedAt, wanted);
        if (wait > 0) {
            refusal.say(StatusCodes.TOO_MANY_REQUESTS, "the team's budget is used up", wait);
            return;
        }
        exchange.getResponseHeaders().put(REQUEST_ID, record.id());
        serve(
                exchange,
                ask,
                new BrokerReplies(
                        record,
                        prompt.stream(),
                        tally,
                        log,
                        timers,
                        taken -> contract.budget().settle(bookedAt, wanted, taken < 0 ? wanted : taken)));
    }

    /** Whether the team's contract allows the request at all; if not, it has been refused. */
    private static boolean allowed(Contract contract, FlowRecord record, Prompt prompt, long wanted, Refusal refusal) {
        String objection = contract.objection(record.requestClass(), prompt.model());
        if (objection != null) {
            refusal.say(StatusCodes.FORBIDDEN, objection, 0);
            return false;
        }
        if (!contract.budget().holds(wanted)) {
            refusal.say(StatusCodes.BAD_REQUEST, "the request is larger than the team's whole budget", 0);
            return false;
        }
        return true;
    }

    private void serve(HttpServerExchange exchange, Ask ask, BrokerReplies replies) {
        ClientExchange client = new ClientExchange(exchange, new Mailbox(exchange.getIoThread(), MAILBOX), replies);
        Flows.Ticket ticket = flows.take(ask, client);
        if (ticket == null) {
            client.refused(null, NO_ROOM_RETRY);
        } else {
            client.serve(ticket);
        }
    }

    /** The key stands where either dialect puts it. */
    private static String key(HttpServerExchange exchange) {
        String key = exchange.getRequestHeaders().getFirst("x-api-key");
        String bearer = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return key != null
                ? key
                : bearer != null && bearer.startsWith("Bearer ")
                        ? bearer.substring(7).trim()
                        : null;
    }

    private Ask ask(
            HttpServerExchange exchange,
            Contract contract,
            Prompt prompt,
            FlowRecord record,
            Parcel.Tally tally,
            byte[] body) {
        String given = exchange.getRequestHeaders().getFirst("X-Class");
        String requestClass = given == null ? contract.classes().get(0) : given;
        record.asked(requestClass, prompt.model());
        int type = settings.names().classes().indexOf(requestClass);
        if (type < 0 && contract.classes().contains(requestClass)) {
            throw new IllegalArgumentException("class '" + requestClass + "' is not served here");
        }
        Dialect other = record.dialect() == Dialect.CHAT ? Dialect.MESSAGES : Dialect.CHAT;
        String query = exchange.getQueryString();
        Parcel parcel = new Parcel(
                record.dialect(),
                record.dialect().path() + (query.isEmpty() ? "" : '?' + query),
                record.id(),
                Heads.one(exchange, Parcel.IDEMPOTENCY_KEY),
                prompt.stream(),
                body,
                prompt.write(other),
                tally);
        String session = exchange.getRequestHeaders().getFirst("X-Key");
        return new Ask(
                type,
                settings.names().tenants().indexOf(contract.tenant()),
                Keys.of(session != null ? session : prompt.user()),
                Keys.of(prompt.system()),
                patience(exchange, contract),
                prompt.promptTokens(),
                (prompt.system().length() + 3) / 4,
                prompt.maxTokens(),
                false,
                parcel);
    }

    /** The contract's deadline, or the client's own if that is sooner. */
    private static long patience(HttpServerExchange exchange, Contract contract) {
        String text = exchange.getRequestHeaders().getFirst("X-Deadline-Ms");
        if (text == null) {
            return contract.deadline();
        }
        if (!text.matches("[0-9]{1,8}") || Long.parseLong(text) > MAX_WAIT_MS) {
            throw new IllegalArgumentException("X-Deadline-Ms: expected whole milliseconds up to a day");
        }
        return Math.min(contract.deadline(), Long.parseLong(text) * 1_000_000);
    }
}
