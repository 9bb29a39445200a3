package fawnlb.server;

import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static org.junit.Assert.assertEquals;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server with a broker, one backend of a dialect, a syslog collector, and a team that is served in another dialect.
 */
final class BrokerFixture implements AutoCloseable {
    static final String API_KEY = "x-api-key: k\r\n";
    static final int BUDGET_REQUESTS = 13;

    final DialectEvents backendEvents;
    final SyslogCollector collector = new SyslogCollector();
    final FakeHttpServer backend;
    final ServerHarness harness;
    private final Dialect clientDialect;
    private final AtomicInteger openAttempts = new AtomicInteger();
    private volatile FakeHttpServer.ResponseScript script;
    private int loggedAttempts;

    BrokerFixture(Dialect clientDialect, Dialect backendDialect) throws Exception {
        this.clientDialect = clientDialect;
        this.backendEvents = new DialectEvents(backendDialect);
        this.backend = new FakeHttpServer(this::respond);
        String hostType = backendDialect == Dialect.CHAT ? EndpointLists.CHAT_HOST : EndpointLists.MESSAGES_HOST;
        this.harness = ServerHarness.withBroker(
                ServerConfigJson.fixedList().endpoints(EndpointLists.endpoint(1, backend.address(), hostType, "ready")),
                brokerJson(collector.address()));
    }

    private static String brokerJson(String collectorAddress) {
        return "{\"listen\":\"127.0.0.1:0\",\"message-kinds\":[\"m\"],\"syslog\":{\"collector\":\"" + collectorAddress
                + "\"},\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\",\"strict\",\"by zone\"],\"models\":[\"m\"],"
                + "\"deadline-ms\":3000,\"budget\":{\"requests\":" + BUDGET_REQUESTS
                + ",\"tokens\":1000,\"window-ms\":60000}}]}";
    }

    /** Returns all pairs of a client's and a backend's dialect, as parameters of a test. */
    static List<Object[]> dialectPairs() {
        List<Object[]> pairs = new ArrayList<>();
        for (Dialect client : Dialect.values()) {
            for (Dialect backend : Dialect.values()) {
                pairs.add(new Object[] {client, backend});
            }
        }
        return pairs;
    }

    private void respond(FakeHttpServer.Request request, Socket connection) throws IOException, InterruptedException {
        openAttempts.incrementAndGet();
        try {
            script.respond(request, connection);
        } finally {
            openAttempts.decrementAndGet();
        }
    }

    void backendResponds(String response) {
        script = (request, connection) -> write(connection, response);
    }

    void backendResponds(FakeHttpServer.ResponseScript responseScript) {
        script = responseScript;
    }

    void backendRespondsAndCloses(String response) {
        script = (request, connection) -> {
            write(connection, response);
            connection.close();
        };
    }

    void backendRespondsAndHoldsOpen(String response) {
        script = (request, connection) -> {
            write(connection, response);
            awaitClose(connection);
        };
    }

    /** Returns events with the first half of the response's text. */
    String firstPart() {
        return backendEvents.start() + backendEvents.text("Hel");
    }

    /** Returns events with the rest of the response. */
    String secondPart() {
        return backendEvents.text("lo") + backendEvents.end();
    }

    String streamRequest(String id, String... headers) {
        return request(id, true, headers);
    }

    String bodyRequest(String id) {
        return request(id, false);
    }

    private String request(String id, boolean stream, String... headers) {
        return Requests.post(
                clientDialect.path(),
                "{\"model\":\"m\",\"max_tokens\":9,\"stream\":" + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
                API_KEY + "X-Request-Id: " + id + "\r\nX-Class: strict\r\n" + CLOSE_CONNECTION
                        + String.join("", headers));
    }

    String exchange(String request) throws IOException {
        return harness.exchangeWithBroker(request);
    }

    void awaitNoOpenAttempt() {
        Await.waitUntil("no attempt is open", () -> openAttempts.get() == 0 && harness.server.openRequests() == 0);
    }

    /** Asserts that one more request was sent to the backend, and that its record names the outcome. */
    String assertOneAttemptLoggedAs(String outcome) throws IOException {
        String record = collector.receive();
        assertEquals(outcome, SyslogCollector.outcome(record));
        loggedAttempts++;
        assertEquals(loggedAttempts, backend.requests.size());
        return record;
    }

    @Override
    public void close() throws IOException {
        harness.close();
        backend.close();
        collector.close();
    }
}
