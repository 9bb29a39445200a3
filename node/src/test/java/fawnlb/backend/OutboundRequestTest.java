package fawnlb.backend;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.http.BodyReference;
import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class OutboundRequestTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private static OutboundRequest request(String idempotencyKey, byte[] translatedBody) {
        return new OutboundRequest(
                Dialect.CHAT,
                "/v1/chat/completions?trace=1",
                "r1",
                idempotencyKey,
                true,
                TestBodies.of(Dialect.CHAT, "{}".getBytes(StandardCharsets.UTF_8), translatedBody),
                OutboundRequest.ResponseSummary.withoutUsage());
    }

    private static String encode(OutboundRequest request, Dialect backendDialect) {
        StringBuilder text = new StringBuilder();
        byte[] body = request.bodies().retain(backendDialect).bytes();
        for (ByteBuffer part : request.encode(body, backendDialect, "10.0.0.7:8000", 3 * SECOND_NANOS / 2)) {
            text.append(StandardCharsets.ISO_8859_1.decode(part));
        }
        return text.toString();
    }

    /** The proxy and the log know the request only as its payload. */
    @Test
    public void payloadHasTheClientsRequestId() {
        IncomingRequest.RequestPayload payload = request(null, null);

        assertEquals("r1", payload.requestId());
    }

    @Test
    public void requestInClientsDialectKeepsPathAndBody() {
        String encoded = encode(request("k1", null), Dialect.CHAT);

        assertEquals(
                "POST /v1/chat/completions?trace=1 HTTP/1.1\r\nHost: 10.0.0.7:8000\r\nX-Request-Id: r1\r\n"
                        + "Idempotency-Key: k1\r\nX-Deadline-Ms: 1500\r\nContent-Type: application/json\r\n"
                        + "Content-Length: 2\r\n\r\n{}",
                encoded);
    }

    @Test
    public void requestInOtherDialectHasThatDialectsPathAndBody() {
        byte[] translatedBody = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);

        String encoded = encode(request(null, translatedBody), Dialect.MESSAGES);

        assertEquals(
                "POST " + Dialect.MESSAGES.path() + " HTTP/1.1\r\nHost: 10.0.0.7:8000\r\nX-Request-Id: r1\r\n"
                        + "X-Deadline-Ms: 1500\r\nContent-Type: application/json\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
                encoded);
    }

    @Test
    public void requestWithoutTranslatedBodyCanBeSentInClientsDialectOnly() {
        assertTrue(request(null, null).bodies().isAvailableIn(Dialect.CHAT));
        assertFalse(request(null, null).bodies().isAvailableIn(Dialect.MESSAGES));
        assertTrue(request(null, new byte[2]).bodies().isAvailableIn(Dialect.MESSAGES));
    }

    @Test
    public void releasedRequestKeepsItsBodyForTheAttemptThatHasIt() {
        OutboundRequest request = request(null, null);
        BodyReference attemptsBody = request.bodies().retain(Dialect.CHAT);

        request.release();

        assertFalse(request.bodies().isAvailableIn(Dialect.CHAT));
        assertEquals(2, attemptsBody.bytes().length);
    }
}
