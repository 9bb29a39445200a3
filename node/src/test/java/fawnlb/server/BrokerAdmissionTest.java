package fawnlb.server;

import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.post;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/** Requests that a team's contract or budget does not allow, in all pairs of dialects. */
@RunWith(Parameterized.class)
public class BrokerAdmissionTest {
    private final Dialect clientDialect;
    private final Dialect backendDialect;
    private BrokerFixture broker;

    public BrokerAdmissionTest(Dialect clientDialect, Dialect backendDialect) {
        this.clientDialect = clientDialect;
        this.backendDialect = backendDialect;
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

    /** A request, and the status and a word of its rejection. */
    private record Rejection(String request, int status, String expectedWord) {}

    private List<Rejection> rejections() {
        String valid = broker.streamRequest("x");
        return List.of(
                new Rejection(valid.replace(BrokerFixture.API_KEY, ""), 401, "authentication_error"),
                new Rejection(valid.replace(BrokerFixture.API_KEY, "x-api-key: wrong\r\n"), 401, "no team"),
                new Rejection(valid.replace("\"m\",", "\"n\","), 403, "permission_error"),
                new Rejection(valid.replace("strict", "other"), 403, "class"),
                new Rejection(valid.replace("hi", "\\x"), 400, "JSON"),
                new Rejection(withContentLength(valid.replace("s\":9", "s\":9999")), 400, "budget"),
                new Rejection(valid.replace("POST " + clientDialect.path(), "POST /v1/other"), 404, "not_found_error"),
                new Rejection(valid.replace("POST", "PUT"), 405, "POST"),
                new Rejection(
                        post(clientDialect.path(), "x".repeat(300_000), BrokerFixture.API_KEY + CLOSE_CONNECTION),
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
            String response = broker.exchange(rejection.request());

            String description = rejection.request() + response;
            assertTrue(description, response.startsWith("HTTP/1.1 " + rejection.status()));
            assertTrue(description, response.contains(rejection.expectedWord()));
        }
        assertEquals(0, broker.backend.requests.size());
        assertEquals(Map.of("rejected", 9), broker.collector.receiveOutcomes(9));
    }

    @Test
    public void requestOutsideContractIsRejectedBeforeAnyAttempt() throws Exception {
        assertRejectionsBeforeAnyAttempt();
    }

    @Test
    public void classIsFoundWithSpacesOrUnderscoresInItsName() throws Exception {
        broker.backendResponds(stream(broker.firstPart(), broker.secondPart()));
        for (String requestClass : List.of("by zone", "by_zone")) {
            String request =
                    broker.streamRequest(requestClass.replace(' ', '-')).replace("strict", requestClass);

            String response = broker.exchange(request);

            assertTrue(requestClass + response, response.startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void requestOverBudgetIsRejectedAndRejectionsAreNotCharged() throws Exception {
        broker.backendResponds(stream(broker.firstPart(), broker.secondPart()));
        assertRejectionsBeforeAnyAttempt();

        for (int i = 0; i < BrokerFixture.BUDGET_REQUESTS; i++) {
            broker.exchange(broker.streamRequest("served-" + i));
        }
        String response = broker.exchange(broker.streamRequest("over"));

        assertTrue(response, response.startsWith("HTTP/1.1 429") && response.contains("rate_limit_error"));
        assertTrue(response, response.matches("(?s).*Retry-After: [1-5]?[0-9](\\.[0-9]+)?\r\n.*"));
        assertEquals(BrokerFixture.BUDGET_REQUESTS, broker.backend.requests.size());
        assertEquals(
                Map.of("served", BrokerFixture.BUDGET_REQUESTS, "rejected", 1),
                broker.collector.receiveOutcomes(BrokerFixture.BUDGET_REQUESTS + 1));
    }
}
