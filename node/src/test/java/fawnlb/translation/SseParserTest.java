package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class SseParserTest {
    /** Input and its events, as name=data. */
    private static final String[][] CASES = {
        {"data: a\n\n", "=a;"},
        {"data:a\n\n", "=a;"},
        {"data:  a\n\n", "= a;"},
        {"event: e\r\ndata: a\r\n\r\n", "e=a;"},
        {"data: a\r\rdata: b\r\r", "=a;=b;"},
        {"data: a\ndata: b\ndata\n\n", "=a\nb\n;"},
        {": comment\ndata: a\nid: 4\nretry: 3\n\n", "=a;"},
        {"event: e\n\ndata: a\n\n", "=a;"},
        {"data: a\n", ""},
        {"data: \u00e9\u4e2d\n\n", "=\u00e9\u4e2d;"},
        {"data: a\n\n\n\ndata: b\n\n", "=a;=b;"},
        {"", ""}
    };

    @Test
    public void eventsAreParsedFromChunksOfAnySize() throws IOException {
        for (String[] row : CASES) {
            byte[] in = row[0].getBytes(StandardCharsets.UTF_8);
            for (int chunkSize : new int[] {1, 3, 1000}) {
                SseParser parser = new SseParser();
                StringBuilder out = new StringBuilder();
                for (int at = 0; at < in.length; at += chunkSize) {
                    parser.feed(ByteBuffer.wrap(in, at, Math.min(chunkSize, in.length - at)))
                            .forEach(e -> out.append(e.name())
                                    .append('=')
                                    .append(e.data())
                                    .append(';'));
                }
                assertEquals(row[0], row[1], out.toString());
            }
        }
    }

    @Test
    public void eventBeyondSizeLimitIsRejected() {
        assertThrows(IOException.class, () -> new SseParser().feed(ByteBuffer.wrap(new byte[300_000])));
    }
}
