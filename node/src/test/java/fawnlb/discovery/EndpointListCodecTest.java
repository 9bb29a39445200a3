package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import java.io.IOException;
import java.util.List;
import org.junit.Test;

public class EndpointListCodecTest {
    private static final String ENDPOINT_JSON =
            "{\"id\":\"s-5be2a07c\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"m2\","
                    + "\"cell\":3,\"phase\":\"%s\",\"size\":1.5,\"up_since_ms\":7,\"new\":{\"x\":[1]}}";

    private static String listJson(String... endpoints) {
        return "{\"revision\":4,\"later\":[{}],\"complete\":true,\"members\":[" + String.join(",", endpoints) + "]}";
    }

    @Test
    public void parsesListsAndSkipsUnknownFields() throws IOException {
        Object[][] cases = {
            {"ready", EndpointPhase.READY},
            {"draining", EndpointPhase.DRAINING},
            {"gone", EndpointPhase.GONE},
            {"odd", EndpointPhase.DRAINING}
        };
        for (Object[] row : cases) {
            EndpointList read = EndpointList.parse(listJson(ENDPOINT_JSON.formatted(row[0])));
            assertEquals(
                    new EndpointList(
                            4,
                            true,
                            List.of(new DiscoveredEndpoint(
                                    "s-5be2a07c", "127.0.0.1", 9, "a", "m2", 3, (EndpointPhase) row[1], 1.5, 7))),
                    read);
            assertEquals(0x5be2a07cL, read.endpoints().get(0).numericId());
        }
    }

    @Test
    public void rejectsMalformedLists() {
        for (String bad : new String[] {
            "",
            "[]",
            "{}",
            listJson("{}"),
            listJson("{\"id\":\"x\",\"host_port\":\"h\"}"),
            listJson("{\"id\":\"x\",\"host_port\":\"h:x\"}"),
            listJson(ENDPOINT_JSON.formatted("ready")) + " {}",
            "{\"revision\":1",
            "{\"revision\":\"x\"}",
            "{\"revision\":1,\"members\":3}"
        }) {
            assertThrows(bad, IOException.class, () -> EndpointList.parse(bad));
        }
    }

    /** A name was looked up on the I/O thread, and each attempt to an address that is none was never heard of again. */
    @Test
    public void rejectsAddressesThatAreNotNumeric() throws IOException {
        for (String bad : new String[] {
            "engine.local:9",
            "999.1.1.1:9",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1",
            "1.2.3:9",
            "x".repeat(100_000)
        }) {
            String text = listJson(ENDPOINT_JSON.formatted("ready").replace("127.0.0.1:9", bad));
            IOException exception = assertThrows(bad, IOException.class, () -> EndpointList.parse(text));
            assertTrue(exception.getMessage(), exception.getMessage().length() < 200);
        }
        assertEquals(
                9,
                EndpointList.parse(listJson(ENDPOINT_JSON.formatted("ready").replace("127.0.0.1", "[::1]")))
                        .endpoints()
                        .get(0)
                        .port());
    }
}
