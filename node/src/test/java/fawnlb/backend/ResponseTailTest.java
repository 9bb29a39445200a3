package fawnlb.backend;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class ResponseTailTest {
    private static final String USAGE = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n";
    private static final int[] CHUNK_SIZES = {1, 13, 5000};

    @Test
    public void findsCachedTokensOfBothDialects() {
        assertFound(USAGE + "data: [DONE]\n\n", 4096, "");
        assertFound("data: {\"usage\":{\"cache_read_input_tokens\" : 7}}\n\n", 7, "");
    }

    @Test
    public void findsLoadReportInComment() {
        assertFound(USAGE + ": X-Load: TEXT queue=2, util=0.6\n\n", 4096, "TEXT queue=2, util=0.6");
        assertFound("data: : X-Load: queue=1\n\n", 0, "");
    }

    @Test
    public void findsNothingInOtherText() {
        assertFound("data: \"cached_tokens\":99999999999}\n\n", 0, "");
        assertFound("", 0, "");
    }

    @Test
    public void findsOnlyWhatTheLastBytesHold() {
        assertFound(USAGE + "data: " + "x".repeat(2000) + "\n\n", 0, "");
        assertFound("x".repeat(2000) + "\n" + USAGE, 4096, "");
    }

    @Test
    public void recognisesLastEventOfEitherDialect() {
        assertTrue(read("data: [DONE]\n\n", 5).hasLastEvent(Dialect.CHAT));
        assertFalse(read("data: {\"text\":\"[DONE]\"}\n\n", 5).hasLastEvent(Dialect.CHAT));
        assertTrue(read("event: message_stop\ndata: {}\n\n", 5).hasLastEvent(Dialect.MESSAGES));
        assertFalse(read("data: [DONE]\n\n", 5).hasLastEvent(Dialect.MESSAGES));
    }

    private static void assertFound(String text, long cachedTokens, String loadReport) {
        for (int chunkSize : CHUNK_SIZES) {
            ResponseTail tail = read(text, chunkSize);
            assertEquals(text, cachedTokens, tail.cachedTokens());
            assertEquals(text, loadReport, tail.loadReport());
        }
    }

    private static ResponseTail read(String text, int chunkSize) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        ResponseTail tail = new ResponseTail();
        for (int at = 0; at < all.length; at += chunkSize) {
            int size = Math.min(chunkSize, all.length - at);
            ByteBuffer chunk = ByteBuffer.wrap(all, at, size);
            tail.add(chunk);
            assertEquals("the chunk's position stays", size, chunk.remaining());
        }
        return tail;
    }
}
