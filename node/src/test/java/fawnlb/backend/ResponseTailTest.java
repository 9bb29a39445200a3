package fawnlb.backend;

import static org.junit.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class ResponseTailTest {
    @Test
    public void findsCachedTokensAndLoadReportAcrossChunkBoundaries() {
        String usage = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n";
        Object[][] cases = {
            {usage + "data: [DONE]\n\n", 4096L, ""},
            {"data: {\"usage\":{\"cache_read_input_tokens\" : 7}}\n\n", 7L, ""},
            {usage + ": X-Load: TEXT queue=2, util=0.6\n\n", 4096L, "TEXT queue=2, util=0.6"},
            {"data: \"cached_tokens\":99999999999}\n\n", 0L, ""},
            {"", 0L, ""},
            {"data: : X-Load: queue=1\n\n", 0L, ""},
            {usage + "data: " + "x".repeat(2000) + "\n\n", 0L, ""},
            {"x".repeat(2000) + "\n" + usage, 4096L, ""}
        };
        for (Object[] row : cases) {
            byte[] all = ((String) row[0]).getBytes(StandardCharsets.UTF_8);
            for (int chunkSize : new int[] {1, 13, 5000}) {
                ResponseTail tail = new ResponseTail();
                for (int at = 0; at < all.length; at += chunkSize) {
                    ByteBuffer chunk = ByteBuffer.wrap(all, at, Math.min(chunkSize, all.length - at));
                    tail.add(chunk);
                    assertEquals("the piece is left unread", Math.min(chunkSize, all.length - at), chunk.remaining());
                }
                assertEquals(row[0].toString(), row[1], tail.cachedTokens());
                assertEquals(row[0].toString(), row[2], tail.loadReport());
            }
        }
    }
}
