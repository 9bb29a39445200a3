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

public class ListReaderTest {
    private static final int MAX = 60;

    /** What is found where the text comes in pieces of this size. */
    private static List<String> read(String text, int piece) throws IOException {
        byte[] in = text.getBytes(StandardCharsets.UTF_8);
        ListReader reader = new ListReader(MAX);
        List<String> found = new ArrayList<>();
        for (int at = 0; at < in.length; at += piece) {
            found.addAll(reader.feed(ByteBuffer.wrap(in, at, Math.min(piece, in.length - at))));
        }
        return found;
    }

    @Test
    public void objectsAndHeartbeatsAreFoundInPiecesOfAnySize() throws IOException {
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
    public void whatIsNoObjectOrBreaksOffIsAnError() {
        for (String bad :
                new String[] {"[]\n", "x", "{\"a\n", "{\"a\":1,\n\n", "{\"a\":\"" + "x".repeat(MAX) + "\"}"}) {
            assertThrows(bad, IOException.class, () -> read(bad, 3));
        }
    }

    @Test
    public void objectThatHasNotEndedIsKnown() throws IOException {
        ListReader reader = new ListReader(MAX);
        reader.feed(ByteBuffer.wrap("{\"a\":[".getBytes(StandardCharsets.UTF_8)));
        assertTrue(reader.isWithinObject());
        reader.feed(ByteBuffer.wrap("]}".getBytes(StandardCharsets.UTF_8)));
        assertFalse(reader.isWithinObject());
    }
}
