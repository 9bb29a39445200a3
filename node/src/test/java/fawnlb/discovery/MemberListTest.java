package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Balancer.Phase;
import java.io.IOException;
import java.util.List;
import org.junit.Test;

public class MemberListTest {
    private static final String ENTRY =
            "{\"id\":\"s-5be2a07c\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"m2\","
                    + "\"cell\":3,\"phase\":\"%s\",\"size\":1.5,\"up_since_ms\":7,\"new\":{\"x\":[1]}}";

    private static String list(String... members) {
        return "{\"revision\":4,\"later\":[{}],\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }

    @Test
    public void listsAreReadAndUnknownFieldsSkipped() throws IOException {
        Object[][] cases = {
            {"ready", Phase.READY}, {"draining", Phase.DRAINING}, {"gone", Phase.GONE}, {"odd", Phase.DRAINING}
        };
        for (Object[] row : cases) {
            MemberList read = MemberList.parse(list(ENTRY.formatted(row[0])));
            assertEquals(
                    new MemberList(
                            4,
                            true,
                            List.of(new Member("s-5be2a07c", "127.0.0.1", 9, "a", "m2", 3, (Phase) row[1], 1.5, 7))),
                    read);
            assertEquals(0x5be2a07cL, read.members().get(0).number());
        }
    }

    @Test
    public void badListsAreErrors() {
        for (String bad : new String[] {
            "",
            "[]",
            "{}",
            list("{}"),
            list("{\"id\":\"x\",\"host_port\":\"h\"}"),
            list("{\"id\":\"x\",\"host_port\":\"h:x\"}"),
            list(ENTRY.formatted("ready")) + " {}",
            "{\"revision\":1",
            "{\"revision\":\"x\"}",
            "{\"revision\":1,\"members\":3}"
        }) {
            assertThrows(bad, IOException.class, () -> MemberList.parse(bad));
        }
    }

    /** A name was looked up on the I/O thread, and each attempt to an address that is none was never heard of again. */
    @Test
    public void onlyNumericAddressesAreTaken() throws IOException {
        for (String bad : new String[] {
            "engine.local:9",
            "999.1.1.1:9",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1",
            "1.2.3:9",
            "x".repeat(100_000)
        }) {
            String text = list(ENTRY.formatted("ready").replace("127.0.0.1:9", bad));
            IOException fault = assertThrows(bad, IOException.class, () -> MemberList.parse(text));
            assertTrue(fault.getMessage(), fault.getMessage().length() < 200);
        }
        assertEquals(
                9,
                MemberList.parse(list(ENTRY.formatted("ready").replace("127.0.0.1", "[::1]")))
                        .members()
                        .get(0)
                        .port());
    }
}
