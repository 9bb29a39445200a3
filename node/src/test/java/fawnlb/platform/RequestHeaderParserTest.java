package fawnlb.platform;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.client.AffinityKeys;
import fawnlb.client.RetryAfterHeader;
import fawnlb.config.SettingsParser;
import fawnlb.proxy.IncomingRequest;
import java.util.HashMap;
import java.util.Map;
import org.junit.Test;

public class RequestHeaderParserTest {
    private final RequestHeaderParser parser =
            new RequestHeaderParser(new SettingsParser("profiles.count=1\nprofiles.0.name=chat\n"
                            + "profiles.0.deadline-ns=9\norgs.count=2\norgs.0.name=a\norgs.1.name=b")
                    .parse());

    private IncomingRequest parse(String... pairs) {
        Map<String, String> headers = new HashMap<>(Map.of("X-Class", "chat"));
        for (int i = 0; i < pairs.length; i += 2) {
            headers.put(pairs[i], pairs[i + 1]);
        }
        return parser.parse(headers::get, null);
    }

    @Test
    public void headersBecomeIncomingRequest() {
        assertEquals(
                new IncomingRequest(0, 1, 0xabL, 0x5cL, 4_800_000_000L, 5120, 2048, 800, true, null),
                parse(
                        "X-Tenant",
                        "b",
                        "X-Key",
                        "ab",
                        "X-Deadline-Ms",
                        "4800",
                        "X-Extras",
                        "prefix=5c, prompt_len=5120,prefix_len=2048,max_out=800",
                        "X-Retry",
                        "1"));
        assertEquals(new IncomingRequest(0, -1, 0, 0, 9, 0, 0, 0, false, null), parse());
    }

    @Test
    public void malformedHeaderIsNamed() {
        String[][] cases = {
            {"X-Class", "odd"},
            {"X-Deadline-Ms", "-1"},
            {"X-Deadline-Ms", "soon"},
            {"X-Extras", "prefix"},
            {"X-Extras", "prompt_len=many"}
        };
        for (String[] row : cases) {
            assertTrue(assertThrows(row[1], IllegalArgumentException.class, () -> parse(row))
                            .getMessage()
                            .length()
                    > 10);
        }
    }

    @Test
    public void affinityKeysAreHexOrHashed() {
        assertEquals(0x7f3a9c21e0b4d655L, AffinityKeys.parse("7f3a9c21e0b4d655"));
        assertEquals(0, AffinityKeys.parse(" "));
        assertTrue(AffinityKeys.parse("someone") != AffinityKeys.parse("someone else")
                && AffinityKeys.parse("someone") == AffinityKeys.parse("someone"));
    }

    @Test
    public void retryAfterHasNoTrailingZeros() {
        Object[][] cases = {{2_000_000_000L, "2"}, {1_500_000_000L, "1.5"}, {1L, "0.001"}, {100_000_000_000L, "100"}};
        for (Object[] row : cases) {
            assertEquals(row[1], RetryAfterHeader.formatSeconds((Long) row[0]));
        }
    }
}
