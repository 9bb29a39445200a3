package fawnlb.backend;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.backend.OutboundRequest.ResponseSummary;
import fawnlb.translation.Dialect;
import fawnlb.translation.MalformedResponseBodyException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class RelayedBodyTest {
    private static final String EVENT = "data: {\"id\":\"c1\",\"model\":\"m\",\"choices\":[{\"index\":0,"
            + "\"delta\":{\"content\":\"Hi\"},\"finish_reason\":\"stop\"}]}\n\n";
    private static final String LAST_EVENT = "data: [DONE]\n\n";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final ResponseTail tail = new ResponseTail();

    private static OutboundRequest streamedRequest(Dialect dialect) {
        return request(dialect, true);
    }

    private static OutboundRequest wholeRequest() {
        return request(Dialect.CHAT, false);
    }

    private static OutboundRequest request(Dialect dialect, boolean isStreamed) {
        return new OutboundRequest(
                dialect,
                "/",
                "r1",
                null,
                isStreamed,
                TestBodies.of(dialect, new byte[2], new byte[2]),
                ResponseSummary.withoutUsage());
    }

    /** The body of an answer of a chat backend. */
    private RelayedBody answer(OutboundRequest request) {
        return RelayedBody.create(request, Dialect.CHAT, OK, ResponseKind.ANSWER, tail);
    }

    /** The body of a client error of a chat backend. */
    private RelayedBody clientError(OutboundRequest request) {
        return RelayedBody.create(request, Dialect.CHAT, BAD_REQUEST, ResponseKind.CLIENT_ERROR, tail);
    }

    private String feed(RelayedBody body, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        tail.add(bytes);
        body.scan(bytes);
        return decode(body.feed(bytes));
    }

    private static String decode(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    // ---- Streams in the client's dialect -------------------------------------------------------------------

    @Test
    public void streamIsWithheldUntilItsFirstEventIsComplete() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.CHAT));

        assertEquals("", feed(body, EVENT.substring(0, 9)));
        assertEquals(9, body.bufferedBytes());
        assertEquals(EVENT, feed(body, EVENT.substring(9)));
        assertEquals("data: {", feed(body, "data: {"));
        assertEquals(0, body.bufferedBytes());
    }

    @Test
    public void partialFirstEventCanBeReleased() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.CHAT));
        assertFalse(body.hasPartialFirstEvent());

        feed(body, EVENT.substring(0, 9));

        assertTrue(body.hasPartialFirstEvent());
        assertEquals(EVENT.substring(0, 9), decode(body.releaseFirstEvent()));
        assertEquals(EVENT.substring(9), feed(body, EVENT.substring(9)));
    }

    @Test
    public void streamIsCompleteWithItsLastEvent() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.CHAT));
        feed(body, EVENT + LAST_EVENT);

        assertEquals("", decode(body.finish()));
    }

    /** Guards against a complete answer that counts as cut short for the unknown events behind its last one. */
    @Test
    public void streamIsCompleteWhateverFollowsItsLastEvent() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.CHAT));
        feed(body, EVENT + LAST_EVENT);
        feed(body, "event: box.summary\ndata: " + "x".repeat(2000) + "\n\n");

        assertEquals("", decode(body.finish()));
    }

    @Test
    public void streamWithoutLastEventIsMalformed() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.CHAT));
        feed(body, EVENT);

        assertThrows(MalformedResponseBodyException.class, body::finish);
    }

    // ---- Responses in one piece ----------------------------------------------------------------------------

    @Test
    public void wholeAnswerIsRelayedAtItsEnd() throws IOException {
        RelayedBody body = answer(wholeRequest());

        assertEquals("", feed(body, "{\"a\":"));
        assertEquals("", feed(body, "1}"));
        assertEquals(7, body.bufferedBytes());
        assertFalse(body.hasPartialFirstEvent());
        assertEquals("{\"a\":1}", decode(body.finish()));
    }

    @Test
    public void clientErrorIsRelayedAtItsEndAlsoToAStreamingClient() throws IOException {
        RelayedBody body = clientError(streamedRequest(Dialect.CHAT));

        assertEquals("", feed(body, "{}"));
        assertEquals("{}", decode(body.finish()));
    }

    @Test
    public void wholeAnswerOverTheLimitIsMalformed() throws IOException {
        RelayedBody body = answer(wholeRequest());
        feed(body, "x".repeat(MAX_BUFFERED_BYTES));

        assertThrows(MalformedResponseBodyException.class, () -> feed(body, "x"));
    }

    // ---- Translation ---------------------------------------------------------------------------------------

    @Test
    public void answerIsTranslatedForClientOfOtherDialect() throws IOException {
        RelayedBody body = answer(streamedRequest(Dialect.MESSAGES));

        String translated = feed(body, EVENT);

        assertTrue(translated, translated.contains("event: content_block_delta"));
        assertThrows(IOException.class, body::finish);
    }

    @Test
    public void clientErrorIsTranslatedForClientOfOtherDialect() throws IOException {
        RelayedBody body = clientError(streamedRequest(Dialect.MESSAGES));

        assertEquals("", feed(body, "{\"error\":{\"message\":\"too long\"}}"));

        String translated = decode(body.finish());
        assertTrue(translated, translated.contains("invalid_request_error"));
        assertTrue(translated, translated.contains("too long"));
    }
}
