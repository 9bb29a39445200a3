package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.post;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.NOT_RUN;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.responseHead;
import static fawnlb.server.Responses.status;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/**
 * Each dialect of clients with each dialect of backends, through every outcome; each request leaves one syslog record.
 */
@RunWith(Parameterized.class)
public class TranslationMatrixTest {
    private static final String API_KEY = "x-api-key: k\r\n";
    private static final int BUDGET_REQUESTS = 13;
    private static final String DEADLINE_500_MS = "X-Deadline-Ms: 500\r\n";

    private final Dialect clientDialect;
    private final Dialect backendDialect;
    private final DialectEvents clientEvents;
    private final DialectEvents backendEvents;
    private final AtomicInteger openAttempts = new AtomicInteger();
    private volatile FakeHttpServer.ResponseScript script;
    private int loggedAttempts;
    private SyslogCollector collector;
    private FakeHttpServer backend;
    private ServerHarness harness;

    public TranslationMatrixTest(Dialect clientDialect, Dialect backendDialect) {
        this.clientDialect = clientDialect;
        this.backendDialect = backendDialect;
        this.clientEvents = new DialectEvents(clientDialect);
        this.backendEvents = new DialectEvents(backendDialect);
    }

    @Parameterized.Parameters(name = "{0} client, {1} backend")
    public static List<Object[]> dialectPairs() {
        List<Object[]> pairs = new ArrayList<>();
        for (Dialect client : Dialect.values()) {
            for (Dialect backend : Dialect.values()) {
                pairs.add(new Object[] {client, backend});
            }
        }
        return pairs;
    }

    @Before
    public void startServer() throws Exception {
        collector = new SyslogCollector();
        backend = new FakeHttpServer(this::respond);
        String hostType = backendDialect == Dialect.CHAT ? EndpointLists.CHAT_HOST : EndpointLists.MESSAGES_HOST;
        String broker = "{\"listen\":\"127.0.0.1:0\",\"message-kinds\":[\"m\"],\"syslog\":{\"collector\":\""
                + collector.address()
                + "\"},\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\",\"strict\"],"
                + "\"models\":[\"m\"],\"deadline-ms\":3000,\"budget\":{\"requests\":" + BUDGET_REQUESTS
                + ",\"tokens\":1000,\"window-ms\":60000}}]}";
        harness = ServerHarness.withBroker(
                ServerConfigJson.fixedList().endpoints(EndpointLists.endpoint(1, backend.address(), hostType, "ready")),
                broker);
    }

    @After
    public void stopServer() throws IOException {
        harness.close();
        backend.close();
        collector.close();
    }

    private void respond(FakeHttpServer.Request request, Socket connection) throws IOException, InterruptedException {
        openAttempts.incrementAndGet();
        try {
            script.respond(request, connection);
        } finally {
            openAttempts.decrementAndGet();
        }
    }

    private void backendResponds(String response) {
        script = (request, connection) -> write(connection, response);
    }

    private void backendRespondsAndCloses(String response) {
        script = (request, connection) -> {
            write(connection, response);
            connection.close();
        };
    }

    private void backendRespondsAndHoldsOpen(String response) {
        script = (request, connection) -> {
            write(connection, response);
            awaitClose(connection);
        };
    }

    private String firstPart() {
        return backendEvents.start() + backendEvents.text("Hel");
    }

    private String secondPart() {
        return backendEvents.text("lo") + backendEvents.end();
    }

    private String streamRequest(String id, String... headers) {
        return request(id, true, headers);
    }

    private String bodyRequest(String id) {
        return request(id, false);
    }

    private String request(String id, boolean stream, String... headers) {
        return post(
                clientDialect.path(),
                "{\"model\":\"m\",\"max_tokens\":9,\"stream\":" + stream
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
                API_KEY + "X-Request-Id: " + id + "\r\nX-Class: strict\r\n" + CLOSE_CONNECTION
                        + String.join("", headers));
    }

    /** Returns the events of a streamed response, without its chunks' sizes and ends. */
    private static String events(String response) {
        String body = response.substring(response.indexOf("\r\n\r\n") + 2).replaceAll("\r\n[0-9a-f]+\r\n", "");
        return body.replaceAll("\r\n", "");
    }

    private boolean isTranslated() {
        return clientDialect != backendDialect;
    }

    private void assertIncomplete(String response) {
        assertFalse(response, response.contains("\r\n0\r\n") || response.contains(clientEvents.finalEvent()));
    }

    /** Asserts that one more request was sent to the backend, and that its record names the outcome. */
    private String assertOneAttemptLoggedAs(String outcome) throws IOException {
        String record = collector.receive();
        assertEquals(outcome, SyslogCollector.outcome(record));
        loggedAttempts++;
        assertEquals(loggedAttempts, backend.requests.size());
        return record;
    }

    @Test
    public void streamIsServedInDialectOfClient() throws Exception {
        backendResponds(stream(firstPart(), secondPart()));

        String response = harness.exchangeWithBroker(streamRequest("served-1"));

        assertTrue(response, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
        assertTrue(response, response.contains("Hel") && response.contains(clientEvents.finalEvent()));
        String record = assertOneAttemptLoggedAs("served");
        assertTrue(record, record.startsWith("<134>1 "));
        assertTrue(record, record.contains(" [flow@32473 id=\"served-1\" team=\"t\""));
        assertTrue(record, record.contains("tokens=\"7\""));
    }

    /** Collectors match on these names and on their order. */
    @Test
    public void syslogRecordHasAllFieldsInOrder() throws Exception {
        backendResponds(stream(firstPart(), secondPart()));

        harness.exchangeWithBroker(streamRequest("served-1"));

        String record = assertOneAttemptLoggedAs("served");
        String fields = "id=\"served-1\" team=\"t\" class=\"strict\" model=\"m\" client=\"" + word(clientDialect)
                + "\" target=\"" + word(backendDialect)
                + "\" skipped=\"0\" tokens=\"7\" end=\"served\" status=\"200\" ms=\"[0-9]+\" dropped=\"0\"";
        String header = "<134>1 [0-9T:.-]+Z 127\\.0\\.0\\.1 fawnlb [0-9]+ FLOW ";
        assertTrue(record, record.matches(header + "\\[flow@32473 " + fields + "\\] flow served"));
    }

    @Test
    public void syslogRecordOfBrokenStreamNamesCauseAndSeverity() throws Exception {
        backendRespondsAndCloses(openStream(firstPart()));

        harness.exchangeWithBroker(streamRequest("broken"));

        String record = assertOneAttemptLoggedAs("broken");
        assertTrue(record, record.startsWith("<133>1 "));
        assertTrue(record, record.matches(".* end=\"broken\" cause=\"[a-z-]+\" status=\"200\" .*"));
    }

    private static String word(Dialect dialect) {
        return dialect.name().toLowerCase(Locale.ROOT);
    }

    @Test
    public void unrecognizedEventsAreForwardedOnlyWithinOneDialect() throws Exception {
        backendResponds(stream(firstPart(), secondPart()));
        String expected = harness.exchangeWithBroker(streamRequest("plain"));
        assertOneAttemptLoggedAs("served");
        backendResponds(stream(
                "event: sparkle\ndata: {}\n\n" + firstPart(), "event: glitter\ndata: a\ndata: b\n\n" + secondPart()));

        String response = harness.exchangeWithBroker(streamRequest("mixed"));

        assertTrue(response, response.contains(clientEvents.finalEvent()));
        assertEquals(!isTranslated(), response.contains("sparkle"));
        if (isTranslated()) {
            assertEquals(events(expected), events(response));
        } else {
            String content = backendEvents.text("Hel") + backendEvents.text("lo") + backendEvents.end();
            assertTrue(expected, events(expected).contains(content));
        }
        String record = assertOneAttemptLoggedAs("served");
        assertTrue(record, record.contains("skipped=\"2\""));
    }

    @Test
    public void bodyIsServedInDialectOfClient() throws Exception {
        String body = backendEvents.body();
        backendResponds(responseHead(200, "Content-Length: " + body.length() + "\r\n") + body);

        String response = harness.exchangeWithBroker(bodyRequest("body"));

        assertTrue(response, response.contains("application/json") && response.contains("Hello"));
        assertEquals(response, clientDialect == Dialect.CHAT, response.contains("\"choices\""));
        assertOneAttemptLoggedAs("served");
    }

    private void assertError(String response, int status, String type) {
        assertTrue(response, response.startsWith("HTTP/1.1 " + status) && response.contains("\"" + type + "\""));
        assertEquals(response, clientDialect == Dialect.MESSAGES, response.contains("{\"type\":\"error\""));
    }

    @Test
    public void rejectionByBackendIsOverloadErrorWithRetryAfter() throws Exception {
        backendResponds(status(503, NOT_RUN));

        String response = harness.exchangeWithBroker(streamRequest("rejected", DEADLINE_500_MS));

        assertError(response, 503, "overloaded_error");
        assertTrue(response, response.contains("Retry-After: "));
        assertOneAttemptLoggedAs("refused");
    }

    @Test
    public void failureOfBackendIsApiErrorWithoutRetryAfter() throws Exception {
        backendResponds(status(500));

        String response = harness.exchangeWithBroker(streamRequest("failed", DEADLINE_500_MS));

        assertError(response, 502, "api_error");
        assertFalse(response, response.contains("Retry-After: "));
        assertOneAttemptLoggedAs("failed");
    }

    @Test
    public void silenceOfBackendIsTimeoutErrorWithoutRetryAfter() throws Exception {
        script = (request, connection) -> awaitClose(connection);

        String response = harness.exchangeWithBroker(streamRequest("silent", DEADLINE_500_MS));

        assertError(response, 504, "timeout_error");
        assertFalse(response, response.contains("Retry-After: "));
        assertOneAttemptLoggedAs("failed");
    }

    @Test
    public void clientErrorOfBackendKeepsItsMessage() throws Exception {
        String error = "{\"error\":{\"message\":\"prompt is too long\"}} ";
        backendResponds(responseHead(400, "Content-Length: " + error.length() + "\r\n") + error);

        String response = harness.exchangeWithBroker(streamRequest("bad"));

        assertTrue(response, response.startsWith("HTTP/1.1 400") && response.contains("prompt is too long"));
        assertTrue(response, !isTranslated() || response.contains("invalid_request_error"));
        assertOneAttemptLoggedAs("rejected");
    }

    @Test
    public void brokenStreamEndsWithErrorEvent() throws Exception {
        backendRespondsAndCloses(openStream(firstPart()));

        String response = harness.exchangeWithBroker(streamRequest("broken"));

        assertTrue(response, response.contains("Hel"));
        assertIncomplete(response);
        boolean isMessages = clientDialect == Dialect.MESSAGES;
        assertEquals(response, isMessages ? 1 : 0, response.split("event: error\n", -1).length - 1);
        String error = "data: {" + (isMessages ? "\"type\":\"error\"," : "") + "\"error\":{\"type\":\"api_error\"";
        assertTrue(response, response.contains(error));
        assertOneAttemptLoggedAs("broken");
    }

    /** Behind half an event, an error event would be read as the rest of it. */
    @Test
    public void streamBrokenWithinForwardedEventEndsWithoutErrorEvent() throws Exception {
        backendRespondsAndCloses(openStream(firstPart(), "data: {\"choi"));

        String response = harness.exchangeWithBroker(streamRequest("half"));

        assertEquals(response, isTranslated(), response.contains("\"error\":{"));
        assertIncomplete(response);
        assertOneAttemptLoggedAs("broken");
    }

    @Test
    public void truncatedBodyIsError() throws Exception {
        backendRespondsAndCloses(responseHead(200, "Content-Length: 50\r\n") + "{\"choices\":[");

        String response = harness.exchangeWithBroker(bodyRequest("truncated"));

        assertTrue(response, response.startsWith("HTTP/1.1 502") && !response.contains("choices"));
        assertOneAttemptLoggedAs("failed");
    }

    /** The end of the framing is not the end of the response: without its final event it is incomplete. */
    @Test
    public void streamWithoutFinalEventIsIncomplete() throws Exception {
        backendResponds(stream(firstPart()));

        String response = harness.exchangeWithBroker(streamRequest("cut"));

        assertIncomplete(response);
        assertTrue(response, response.contains("the answer broke off (cut-short-midway)"));
        assertOneAttemptLoggedAs("broken");
    }

    @Test
    public void disconnectOfClientCancelsAttempt() throws Exception {
        backendRespondsAndHoldsOpen(openStream(firstPart()));

        try (Socket client = harness.connectToBroker()) {
            write(client, streamRequest("gone"));
            waitUntil(
                    "first part received",
                    () -> FakeHttpServer.readLine(client.getInputStream()).contains("Hel"));
        }

        waitUntil("no attempt is open", () -> openAttempts.get() == 0 && harness.server.openRequests() == 0);
        assertOneAttemptLoggedAs("gone");
    }

    /** One server with one backend goes through all outcomes: none of them keeps later requests from the backend. */
    @Test
    public void outcomesDoNotAffectLaterRequests() throws Exception {
        streamIsServedInDialectOfClient();
        unrecognizedEventsAreForwardedOnlyWithinOneDialect();
        bodyIsServedInDialectOfClient();
        rejectionByBackendIsOverloadErrorWithRetryAfter();
        failureOfBackendIsApiErrorWithoutRetryAfter();
        silenceOfBackendIsTimeoutErrorWithoutRetryAfter();
        clientErrorOfBackendKeepsItsMessage();
        brokenStreamEndsWithErrorEvent();
        streamBrokenWithinForwardedEventEndsWithoutErrorEvent();
        truncatedBodyIsError();
        streamWithoutFinalEventIsIncomplete();
        disconnectOfClientCancelsAttempt();
    }

    /** A request, and the status and a word of its rejection. */
    private record Rejection(String request, int status, String expectedWord) {}

    private List<Rejection> rejections() {
        String valid = streamRequest("x");
        return List.of(
                new Rejection(valid.replace(API_KEY, ""), 401, "authentication_error"),
                new Rejection(valid.replace(API_KEY, "x-api-key: wrong\r\n"), 401, "no team"),
                new Rejection(valid.replace("\"m\",", "\"n\","), 403, "permission_error"),
                new Rejection(valid.replace("strict", "other"), 403, "class"),
                new Rejection(valid.replace("hi", "\\x"), 400, "JSON"),
                new Rejection(withContentLength(valid.replace("s\":9", "s\":9999")), 400, "budget"),
                new Rejection(valid.replace("POST " + clientDialect.path(), "POST /v1/other"), 404, "not_found_error"),
                new Rejection(valid.replace("POST", "PUT"), 405, "POST"),
                new Rejection(
                        post(clientDialect.path(), "x".repeat(300_000), API_KEY + CLOSE_CONNECTION),
                        413,
                        "request_too_large"));
    }

    /** Corrects the length of a request whose body was changed. */
    private static String withContentLength(String request) {
        int bodyLength = request.length() - (request.indexOf("\r\n\r\n") + 4);
        return request.replaceFirst("Content-Length: \\d+", "Content-Length: " + bodyLength);
    }

    private void assertRejectionsBeforeAnyAttempt() throws IOException {
        for (Rejection rejection : rejections()) {
            String response = harness.exchangeWithBroker(rejection.request());

            String description = rejection.request() + response;
            assertTrue(description, response.startsWith("HTTP/1.1 " + rejection.status()));
            assertTrue(description, response.contains(rejection.expectedWord()));
        }
        assertEquals(0, backend.requests.size());
        assertEquals(Map.of("rejected", 9), collector.receiveOutcomes(9));
    }

    @Test
    public void requestOutsideContractIsRejectedBeforeAnyAttempt() throws Exception {
        assertRejectionsBeforeAnyAttempt();
    }

    @Test
    public void requestOverBudgetIsRejectedAndRejectionsAreNotCharged() throws Exception {
        backendResponds(stream(firstPart(), secondPart()));
        assertRejectionsBeforeAnyAttempt();

        for (int i = 0; i < BUDGET_REQUESTS; i++) {
            harness.exchangeWithBroker(streamRequest("served-" + i));
        }
        String response = harness.exchangeWithBroker(streamRequest("over"));

        assertTrue(response, response.startsWith("HTTP/1.1 429") && response.contains("rate_limit_error"));
        assertTrue(response, response.matches("(?s).*Retry-After: [1-5]?[0-9](\\.[0-9]+)?\r\n.*"));
        assertEquals(BUDGET_REQUESTS, backend.requests.size());
        assertEquals(Map.of("served", BUDGET_REQUESTS, "rejected", 1), collector.receiveOutcomes(BUDGET_REQUESTS + 1));
    }
}
