package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.discovery.EndpointListFormatException.Reason;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;

public class WatchEventReaderTest {
    private static final int MAX_OBJECT_BYTES = 60;
    private static final WatchEvent HEARTBEAT = new WatchEvent.Heartbeat();

    /** A response, and the events in it. */
    private record Case(String text, WatchEvent... events) {}

    private static WatchEvent object(String json) {
        return new WatchEvent.JsonObject(json);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<WatchEvent> readInChunks(String text, int chunkBytes) throws EndpointListFormatException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        WatchEventReader reader = new WatchEventReader(MAX_OBJECT_BYTES);
        List<WatchEvent> events = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += chunkBytes) {
            events.addAll(reader.read(ByteBuffer.wrap(bytes, offset, Math.min(chunkBytes, bytes.length - offset))));
        }
        return events;
    }

    @Test
    public void readsObjectsAndHeartbeatsFromChunksOfAnySize() throws EndpointListFormatException {
        List<Case> cases = List.of(
                new Case("{\"a\":1}\n\n{\"b\":[{}]}\n", object("{\"a\":1}"), HEARTBEAT, object("{\"b\":[{}]}")),
                new Case("\n \r\n{}\r\n", HEARTBEAT, HEARTBEAT, object("{}")),
                new Case("{\n  \"a\": [\n    {}\n  ]\n}\n\n", object("{  \"a\": [    {}  ]}"), HEARTBEAT),
                new Case("  {\"a\":1}", object("{\"a\":1}")),
                new Case("{\"a\":1}{\"b\":2}\n", object("{\"a\":1}"), object("{\"b\":2}")),
                new Case("{\"}\\\\\":\"\\\"{[\"}\n\n", object("{\"}\\\\\":\"\\\"{[\"}"), HEARTBEAT),
                new Case("{\"a\":\"\u00e9\u20ac\"}\n", object("{\"a\":\"\u00e9\u20ac\"}")));
        for (Case each : cases) {
            for (int chunkBytes = 1; chunkBytes <= each.text().length(); chunkBytes++) {
                assertEquals(List.of(each.events()), readInChunks(each.text(), chunkBytes));
            }
        }
    }

    @Test
    public void rejectsMalformedTruncatedAndOversizedObjects() {
        Map<String, Reason> reasons = Map.of(
                "[]\n",
                Reason.MALFORMED,
                "x",
                Reason.MALFORMED,
                "{\"a\n",
                Reason.TRUNCATED,
                "{\"a\":1,\n\n",
                Reason.TRUNCATED,
                "{\"a\":\"" + "x".repeat(MAX_OBJECT_BYTES) + "\"}",
                Reason.TOO_LARGE);
        reasons.forEach((text, reason) -> {
            EndpointListFormatException rejection =
                    assertThrows(text, EndpointListFormatException.class, () -> readInChunks(text, 3));
            assertEquals(text, reason, rejection.reason());
        });
    }

    @Test
    public void reportsWhetherAnObjectIsIncomplete() throws EndpointListFormatException {
        WatchEventReader reader = new WatchEventReader(MAX_OBJECT_BYTES);
        reader.read(bytes("{\"a\":["));
        assertTrue(reader.isWithinObject());
        reader.read(bytes("]}"));
        assertFalse(reader.isWithinObject());
    }

    /** Bytes within a member's text, or blanks, may come for ever. */
    @Test
    public void onlyTheBeginningOfAnObjectAndTheEndsOfItsPartsAreAnAdvance() throws EndpointListFormatException {
        WatchEventReader reader = new WatchEventReader(MAX_OBJECT_BYTES);
        Map<String, Boolean> advances = new LinkedHashMap<>();
        advances.put(" ", false);
        advances.put("{\"a\":[", true);
        advances.put("  ", false);
        advances.put("{\"b\":\"}]", false);
        advances.put("\"}", true);
        advances.put(",", false);
        advances.put("]", true);
        for (Map.Entry<String, Boolean> part : advances.entrySet()) {
            reader.read(bytes(part.getKey()));
            assertEquals(part.getKey(), part.getValue(), reader.hasAdvanced());
        }
    }
}
