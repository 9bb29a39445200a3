package fawnlb.platform;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.config.SettingsParser;
import fawnlb.http.InvalidRequestException;
import fawnlb.proxy.IncomingRequest;
import java.util.HashMap;
import java.util.Map;
import org.junit.Test;

public class RequestHeaderParserTest {
    private final RequestHeaderParser parser =
            new RequestHeaderParser(new SettingsParser("profiles.count=1\nprofiles.0.name=chat\n"
                            + "profiles.0.deadline-ns=9\norgs.count=2\norgs.0.name=a\norgs.1.name=b")
                    .parse());

    /** Parses the headers of a request of class {@code chat}, unless the given headers name another class. */
    private IncomingRequest parse(Map<String, String> headers) throws InvalidRequestException {
        Map<String, String> all = new HashMap<>(Map.of("X-Class", "chat"));
        all.putAll(headers);
        return parser.parse(all::get, null);
    }

    private void assertRejected(String expectedField, String name, String value) {
        InvalidRequestException rejection =
                assertThrows(value, InvalidRequestException.class, () -> parse(Map.of(name, value)));
        assertEquals(400, rejection.status());
        assertEquals(expectedField, rejection.field());
        assertTrue(rejection.getMessage().length() > 10);
    }

    @Test
    public void headersBecomeIncomingRequest() throws InvalidRequestException {
        IncomingRequest request = parse(Map.of(
                "X-Tenant", "b",
                "X-Key", "ab",
                "X-Deadline-Ms", "4800",
                "X-Extras", "prefix=5c, prompt_len=5120,prefix_len=2048,max_out=800",
                "X-Retry", "1"));
        assertEquals(new IncomingRequest(0, 1, 0xabL, 0x5cL, 4_800_000_000L, 5120, 2048, 800, true, null), request);
    }

    @Test
    public void missingHeadersHaveDefaults() throws InvalidRequestException {
        assertEquals(new IncomingRequest(0, -1, 0, 0, 9, 0, 0, 0, false, null), parse(Map.of()));
    }

    @Test
    public void namesWithSpacesAreFoundInTheSimulatorsForm() throws InvalidRequestException {
        RequestHeaderParser underscores = new RequestHeaderParser(
                new SettingsParser("profiles.count=1\nprofiles.0.name=long_chat\norgs.count=1\norgs.0.name=a_b")
                        .parse());
        Map<String, String> headers = Map.of("X-Class", "long chat", "X-Tenant", "a,b");
        assertEquals(0, underscores.parse(headers::get, null).classIndex());
        assertEquals(0, underscores.parse(headers::get, null).tenantIndex());
    }

    @Test
    public void malformedHeaderIsNamed() {
        assertRejected("X-Class", "X-Class", "odd");
        assertRejected("X-Deadline-Ms", "X-Deadline-Ms", "-1");
        assertRejected("X-Deadline-Ms", "X-Deadline-Ms", "soon");
        assertRejected("X-Extras", "X-Extras", "prefix");
        assertRejected("prompt_len", "X-Extras", "prompt_len=many");
    }
}
