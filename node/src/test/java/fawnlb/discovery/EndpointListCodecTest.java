package fawnlb.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.EndpointListFormatException.Reason;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;

public class EndpointListCodecTest {
    private static final int MAX_MESSAGE_CHARS = 200;

    /** An endpoint with a field that the reader does not know; the phase is to be filled in. */
    private static final String ENDPOINT_JSON =
            "{\"id\":\"s-5be2a07c\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"m2\","
                    + "\"cell\":3,\"phase\":\"%s\",\"size\":1.5,\"up_since_ms\":7,\"new\":{\"x\":[1]}}";

    private static String endpointJson(String phase) {
        return ENDPOINT_JSON.formatted(phase);
    }

    private static String endpointJsonWithAddress(String address) {
        return endpointJson("ready").replace("127.0.0.1:9", address);
    }

    private static String listJson(String... endpoints) {
        return "{\"revision\":4,\"later\":[{}],\"complete\":true,\"members\":[" + String.join(",", endpoints) + "]}";
    }

    private static EndpointListFormatException assertRejected(String text) {
        return assertThrows(text, EndpointListFormatException.class, () -> EndpointListCodec.parse(text));
    }

    @Test
    public void parsesListsAndSkipsUnknownFields() throws IOException {
        Map<String, EndpointPhase> phases = Map.of(
                "ready", EndpointPhase.READY,
                "draining", EndpointPhase.DRAINING,
                "gone", EndpointPhase.GONE,
                "odd", EndpointPhase.DRAINING);
        for (Map.Entry<String, EndpointPhase> row : phases.entrySet()) {
            EndpointList list = EndpointListCodec.parse(listJson(endpointJson(row.getKey())));

            DiscoveredEndpoint endpoint = new DiscoveredEndpoint(
                    EndpointId.of("s-5be2a07c"), "127.0.0.1", 9, "a", "m2", 3, row.getValue(), 1.5, 7);
            assertEquals(new EndpointList(4, true, List.of(endpoint)), list);
            assertEquals("s-5be2a07c", list.endpoints().get(0).id().name());
        }
    }

    @Test
    public void rejectsMalformedLists() {
        Map<String, Reason> reasons = new LinkedHashMap<>();
        reasons.put("", Reason.MALFORMED);
        reasons.put("[]", Reason.MALFORMED);
        reasons.put("{}", Reason.INCOMPLETE);
        reasons.put(listJson("{}"), Reason.INVALID_ENDPOINT);
        reasons.put(listJson("{\"id\":\"x\",\"host_port\":\"h\"}"), Reason.INVALID_ENDPOINT);
        reasons.put(listJson("{\"id\":\"x\",\"host_port\":\"h:x\"}"), Reason.INVALID_ENDPOINT);
        reasons.put(listJson(endpointJson("ready")) + " {}", Reason.INCOMPLETE);
        reasons.put("{\"revision\":1", Reason.MALFORMED);
        reasons.put("{\"revision\":\"x\"}", Reason.MALFORMED);
        reasons.put("{\"revision\":1,\"members\":3}", Reason.MALFORMED);
        reasons.forEach((text, reason) ->
                assertEquals(text, reason, assertRejected(text).reason()));
    }

    /** Guards against lists that are thrown away whole for one field of one entry. */
    @Test
    public void entryThatCannotBeReadIsNamedAndLeavesTheOthers() throws IOException {
        Map<String, InvalidEntry> invalidEntries = new LinkedHashMap<>();
        String odd = endpointJson("draining").replace("s-5be2a07c", "odd");
        invalidEntries.put(odd.replace("1.5", "\"x\""), new InvalidEntry("odd", "size", EndpointPhase.DRAINING));
        invalidEntries.put(odd.replace("1.5", "{\"id\":7}"), new InvalidEntry("odd", "size", EndpointPhase.DRAINING));
        invalidEntries.put(odd.replace(":3,", ":3e99,"), new InvalidEntry("odd", "cell", EndpointPhase.DRAINING));
        invalidEntries.put(
                odd.replace("\"up_since_ms\":7", "\"up_since_ms\":99999999999999999999"),
                new InvalidEntry("odd", "up_since_ms", EndpointPhase.DRAINING));
        invalidEntries.put(odd.replace("\"draining\"", "[]"), new InvalidEntry("odd", "phase", null));
        invalidEntries.put(odd.replace("\"odd\"", "{}"), new InvalidEntry("", "id", EndpointPhase.DRAINING));
        invalidEntries.put(
                odd.replace("127.0.0.1:9", "h"), new InvalidEntry("odd", "host_port", EndpointPhase.DRAINING));
        invalidEntries.put("{}", new InvalidEntry("", "id", EndpointPhase.DRAINING));
        invalidEntries.put("[[1],2]", new InvalidEntry("", "members", null));
        for (Map.Entry<String, InvalidEntry> row : invalidEntries.entrySet()) {
            EndpointList list = EndpointListCodec.parse(listJson(row.getKey(), endpointJson("ready")));

            assertEquals(row.getKey(), List.of(row.getValue()), list.invalidEntries());
            assertEquals(row.getKey(), 1, list.endpoints().size());
            assertEquals("s-5be2a07c", list.endpoints().get(0).id().name());
        }
    }

    @Test
    public void listOfWhichNoEntryCanBeReadIsRejected() {
        String odd = endpointJson("ready").replace("1.5", "\"x\"");

        assertEquals(Reason.INVALID_ENDPOINT, assertRejected(listJson(odd, odd)).reason());
    }

    /** A name would be looked up on the I/O thread, and a connect to what is no address would never end. */
    @Test
    public void rejectsAddressesThatAreNotNumeric() {
        for (String address : new String[] {
            "engine.local:9",
            "999.1.1.1:9",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1",
            "1.2.3:9",
            "x".repeat(100_000)
        }) {
            EndpointListFormatException rejection = assertRejected(listJson(endpointJsonWithAddress(address)));

            assertEquals(Reason.INVALID_ENDPOINT, rejection.reason());
            assertTrue(rejection.getMessage(), rejection.getMessage().length() < MAX_MESSAGE_CHARS);
        }
    }

    /** Number 0 would be a cell that other endpoints may have, with which this one may not share keys. */
    @Test
    public void absentZoneAndCellAreUnknown() throws IOException {
        String endpoint = endpointJson("ready").replace("\"cell\":3,", "").replace("\"locality\":\"a\",", "");
        EndpointList list = EndpointListCodec.parse(listJson(endpoint));

        assertEquals("", list.endpoints().get(0).zone());
        assertEquals(Endpoint.UNKNOWN, list.endpoints().get(0).cell());
    }

    @Test
    public void acceptsNumericIpv6Addresses() throws IOException {
        EndpointList list = EndpointListCodec.parse(listJson(endpointJsonWithAddress("[::1]:9")));

        assertEquals("[::1]", list.endpoints().get(0).host());
        assertEquals(9, list.endpoints().get(0).port());
    }
}
