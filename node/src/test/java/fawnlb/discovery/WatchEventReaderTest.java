package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class WatchEventReaderTest {
    private static final int MAX_OBJECT_BYTES = 60;

    /** What is found where the text comes in pieces of this size. */
    private static List<String> read(String text, int chunkBytes) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        WatchEventReader reader = new WatchEventReader(MAX_OBJECT_BYTES);
        List<String> events = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += chunkBytes) {
            events.addAll(reader.read(ByteBuffer.wrap(bytes, offset, Math.min(chunkBytes, bytes.length - offset))));
        }
        return events;
    }

    @Test
    public void readsObjectsAndHeartbeatsFromChunksOfAnySize() throws IOException {
        String[][] cases = {
            {"{\"a\":1}\n\n{\"b\":[{}]}\n", "{\"a\":1}", "", "{\"b\":[{}]}"},
            {"\n \r\n{}\r\n", "", "", "{}"},
            {"{\n  \"a\": [\n    {}\n  ]\n}\n\n", "{  \"a\": [    {}  ]}", ""},
            {"  {\"a\":1}", "{\"a\":1}"},
            {"{\"a\":1}{\"b\":2}\n", "{\"a\":1}", "{\"b\":2}"},
            {"{\"}\\\\\":\"\\\"{[\"}\n\n", "{\"}\\\\\":\"\\\"{[\"}", ""},
            {"{\"a\":\"\u00e9\u20ac\"}\n", "{\"a\":\"\u00e9\u20ac\"}"}
        };
        for (String[] row : cases) {
            for (int piece = 1; piece <= row[0].length(); piece++) {
                assertEquals(List.of(row).subList(1, row.length), read(row[0], piece));
            }
        }
    }

    @Test
    public void rejectsMalformedTruncatedAndOversizedObjects() {
        for (String bad :
                new String[] {"[]\n", "x", "{\"a\n", "{\"a\":1,\n\n", "{\"a\":\"" + "x".repeat(MAX_OBJECT_BYTES) + "\"}"
                }) {
            assertThrows(bad, IOException.class, () -> read(bad, 3));
        }
    }

    @Test
    public void reportsWhetherAnObjectIsIncomplete() throws IOException {
        WatchEventReader reader = new WatchEventReader(MAX_OBJECT_BYTES);
        reader.read(ByteBuffer.wrap("{\"a\":[".getBytes(StandardCharsets.UTF_8)));
        assertTrue(reader.isWithinObject());
        reader.read(ByteBuffer.wrap("]}".getBytes(StandardCharsets.UTF_8)));
        assertFalse(reader.isWithinObject());
    }
}
