package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.write;
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
import java.util.List;
import java.util.Locale;
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
    private static final String DEADLINE_500_MS = "X-Deadline-Ms: 500\r\n";

    private final Dialect clientDialect;
    private final Dialect backendDialect;
    private final DialectEvents clientEvents;
    private final DialectEvents backendEvents;
    private BrokerFixture broker;

    public TranslationMatrixTest(Dialect clientDialect, Dialect backendDialect) {
        this.clientDialect = clientDialect;
        this.backendDialect = backendDialect;
        this.clientEvents = new DialectEvents(clientDialect);
        this.backendEvents = new DialectEvents(backendDialect);
    }

    @Parameterized.Parameters(name = "{0} client, {1} backend")
    public static List<Object[]> dialectPairs() {
        return BrokerFixture.dialectPairs();
    }

    @Before
    public void startServer() throws Exception {
        broker = new BrokerFixture(clientDialect, backendDialect);
    }

    @After
    public void stopServer() throws IOException {
        broker.close();
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

    @Test
    public void streamIsServedInDialectOfClient() throws Exception {
        broker.backendResponds(stream(broker.firstPart(), broker.secondPart()));

        String response = broker.exchange(broker.streamRequest("served-1"));

        assertTrue(response, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
        assertTrue(response, response.contains("Hel") && response.contains(clientEvents.finalEvent()));
        String record = broker.assertOneAttemptLoggedAs("served");
        assertTrue(record, record.startsWith("<134>1 "));
        assertTrue(record, record.contains(" [flow@32473 id=\"served-1\" team=\"t\""));
        assertTrue(record, record.contains("tokens=\"7\""));
    }

    /** Collectors match on these names and on their order. */
    @Test
    public void syslogRecordHasAllFieldsInOrder() throws Exception {
        broker.backendResponds(stream(broker.firstPart(), broker.secondPart()));

        broker.exchange(broker.streamRequest("served-1"));

        String record = broker.assertOneAttemptLoggedAs("served");
        String fields = "id=\"served-1\" team=\"t\" class=\"strict\" model=\"m\" client=\"" + word(clientDialect)
                + "\" target=\"" + word(backendDialect)
                + "\" skipped=\"0\" tokens=\"7\" end=\"served\" status=\"200\" ms=\"[0-9]+\" dropped=\"0\"";
        String header = "<134>1 [0-9T:.-]+Z 127\\.0\\.0\\.1 fawnlb [0-9]+ FLOW ";
        assertTrue(record, record.matches(header + "\\[flow@32473 " + fields + "\\] flow served"));
    }

    @Test
    public void syslogRecordOfBrokenStreamNamesCauseAndSeverity() throws Exception {
        broker.backendRespondsAndCloses(openStream(broker.firstPart()));

        broker.exchange(broker.streamRequest("broken"));

        String record = broker.assertOneAttemptLoggedAs("broken");
        assertTrue(record, record.startsWith("<133>1 "));
        assertTrue(record, record.matches(".* end=\"broken\" cause=\"[a-z-]+\" status=\"200\" .*"));
    }

    private static String word(Dialect dialect) {
        return dialect.name().toLowerCase(Locale.ROOT);
    }

    @Test
    public void unrecognizedEventsAreForwardedOnlyWithinOneDialect() throws Exception {
        broker.backendResponds(stream(broker.firstPart(), broker.secondPart()));
        String expected = broker.exchange(broker.streamRequest("plain"));
        broker.assertOneAttemptLoggedAs("served");
        broker.backendResponds(stream(
                "event: sparkle\ndata: {}\n\n" + broker.firstPart(),
                "event: glitter\ndata: a\ndata: b\n\n" + broker.secondPart()));

        String response = broker.exchange(broker.streamRequest("mixed"));

        assertTrue(response, response.contains(clientEvents.finalEvent()));
        assertEquals(!isTranslated(), response.contains("sparkle"));
        if (isTranslated()) {
            assertEquals(events(expected), events(response));
        } else {
            String content = backendEvents.text("Hel") + backendEvents.text("lo") + backendEvents.end();
            assertTrue(expected, events(expected).contains(content));
        }
        String record = broker.assertOneAttemptLoggedAs("served");
        assertTrue(record, record.contains("skipped=\"2\""));
    }

    @Test
    public void bodyIsServedInDialectOfClient() throws Exception {
        String body = backendEvents.body();
        broker.backendResponds(responseHead(200, "Content-Length: " + body.length() + "\r\n") + body);

        String response = broker.exchange(broker.bodyRequest("body"));

        assertTrue(response, response.contains("application/json") && response.contains("Hello"));
        assertEquals(response, clientDialect == Dialect.CHAT, response.contains("\"choices\""));
        broker.assertOneAttemptLoggedAs("served");
    }

    private void assertError(String response, int status, String type) {
        assertTrue(response, response.startsWith("HTTP/1.1 " + status) && response.contains("\"" + type + "\""));
        assertEquals(response, clientDialect == Dialect.MESSAGES, response.contains("{\"type\":\"error\""));
    }

    @Test
    public void rejectionByBackendIsOverloadErrorWithRetryAfter() throws Exception {
        broker.backendResponds(status(503, NOT_RUN));

        String response = broker.exchange(broker.streamRequest("rejected", DEADLINE_500_MS));

        assertError(response, 503, "overloaded_error");
        assertTrue(response, response.contains("Retry-After: "));
        broker.assertOneAttemptLoggedAs("refused");
    }

    @Test
    public void failureOfBackendIsApiErrorWithoutRetryAfter() throws Exception {
        broker.backendResponds(status(500));

        String response = broker.exchange(broker.streamRequest("failed", DEADLINE_500_MS));

        assertError(response, 502, "api_error");
        assertFalse(response, response.contains("Retry-After: "));
        broker.assertOneAttemptLoggedAs("failed");
    }

    @Test
    public void silenceOfBackendIsTimeoutErrorWithoutRetryAfter() throws Exception {
        broker.backendRespondsAndHoldsOpen("");

        String response = broker.exchange(broker.streamRequest("silent", DEADLINE_500_MS));

        assertError(response, 504, "timeout_error");
        assertFalse(response, response.contains("Retry-After: "));
        broker.assertOneAttemptLoggedAs("failed");
    }

    @Test
    public void clientErrorOfBackendKeepsItsMessage() throws Exception {
        String error = "{\"error\":{\"message\":\"prompt is too long\"}} ";
        broker.backendResponds(responseHead(400, "Content-Length: " + error.length() + "\r\n") + error);

        String response = broker.exchange(broker.streamRequest("bad"));

        assertTrue(response, response.startsWith("HTTP/1.1 400") && response.contains("prompt is too long"));
        assertTrue(response, !isTranslated() || response.contains("invalid_request_error"));
        broker.assertOneAttemptLoggedAs("rejected");
    }

    @Test
    public void brokenStreamEndsWithErrorEvent() throws Exception {
        broker.backendRespondsAndCloses(openStream(broker.firstPart()));

        String response = broker.exchange(broker.streamRequest("broken"));

        assertTrue(response, response.contains("Hel"));
        assertIncomplete(response);
        boolean isMessages = clientDialect == Dialect.MESSAGES;
        assertEquals(response, isMessages ? 1 : 0, response.split("event: error\n", -1).length - 1);
        String error = "data: {" + (isMessages ? "\"type\":\"error\"," : "") + "\"error\":{\"type\":\"api_error\"";
        assertTrue(response, response.contains(error));
        broker.assertOneAttemptLoggedAs("broken");
    }

    /** Behind half an event, an error event would be read as the rest of it. */
    @Test
    public void streamBrokenWithinForwardedEventEndsWithoutErrorEvent() throws Exception {
        broker.backendRespondsAndCloses(openStream(broker.firstPart(), "data: {\"choi"));

        String response = broker.exchange(broker.streamRequest("half"));

        assertEquals(response, isTranslated(), response.contains("\"error\":{"));
        assertIncomplete(response);
        broker.assertOneAttemptLoggedAs("broken");
    }

    @Test
    public void truncatedBodyIsError() throws Exception {
        broker.backendRespondsAndCloses(responseHead(200, "Content-Length: 50\r\n") + "{\"choices\":[");

        String response = broker.exchange(broker.bodyRequest("truncated"));

        assertTrue(response, response.startsWith("HTTP/1.1 502") && !response.contains("choices"));
        broker.assertOneAttemptLoggedAs("failed");
    }

    /** The end of the framing is not the end of the response: without its final event it is incomplete. */
    @Test
    public void streamWithoutFinalEventIsIncomplete() throws Exception {
        broker.backendResponds(stream(broker.firstPart()));

        String response = broker.exchange(broker.streamRequest("cut"));

        assertIncomplete(response);
        assertTrue(response, response.contains("the answer broke off (cut-short-midway)"));
        broker.assertOneAttemptLoggedAs("broken");
    }

    @Test
    public void disconnectOfClientCancelsAttempt() throws Exception {
        broker.backendRespondsAndHoldsOpen(openStream(broker.firstPart()));

        try (Socket client = broker.harness.connectToBroker()) {
            write(client, broker.streamRequest("gone"));
            waitUntil(
                    "first part received",
                    () -> FakeHttpServer.readLine(client.getInputStream()).contains("Hel"));
        }

        broker.awaitNoOpenAttempt();
        broker.assertOneAttemptLoggedAs("gone");
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
}
