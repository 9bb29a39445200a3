package fawnlb.discovery;

import static org.junit.Assert.assertEquals;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.Test;

public class AddressOwnersTest {
    private final AddressOwners owners = new AddressOwners();

    private static DiscoveredEndpoint ready(String id, int port, long upSinceMillis) {
        return endpoint(id, port, EndpointPhase.READY, upSinceMillis);
    }

    private static DiscoveredEndpoint endpoint(String id, int port, EndpointPhase phase, long upSinceMillis) {
        return new DiscoveredEndpoint(EndpointId.of(id), "10.0.0.1", port, "a", "c", 0, phase, 1, upSinceMillis);
    }

    private String resolveComplete(DiscoveredEndpoint... endpoints) {
        return resolve(true, endpoints);
    }

    private String resolveChange(DiscoveredEndpoint... endpoints) {
        return resolve(false, endpoints);
    }

    private String resolve(boolean complete, DiscoveredEndpoint... endpoints) {
        return owners.resolve(new EndpointList(1, complete, List.of(endpoints))).endpoints().stream()
                .map(endpoint -> endpoint.id().name() + ' ' + endpoint.phase())
                .collect(Collectors.joining(", "));
    }

    @Test
    public void endpointThatStartedLaterTakesTheAddressOver() {
        assertEquals("old READY", resolveComplete(ready("old", 1, 0)));

        assertEquals("old GONE, new DRAINING", resolveChange(endpoint("new", 1, EndpointPhase.DRAINING, 5)));
        assertEquals("a late change of the old one", "old GONE", resolveChange(ready("old", 1, 0)));
        assertEquals("other READY", resolveChange(ready("other", 2, 9)));
    }

    @Test
    public void completeListLeavesOutWhatHasLostItsAddress() {
        assertEquals(
                "new READY, other READY",
                resolveComplete(ready("old", 1, 3), ready("new", 1, 5), ready("other", 2, 0)));
        assertEquals("new READY", resolveComplete(ready("new", 1, 5), ready("old", 1, 3)));
    }

    @Test
    public void addressOfAnEndpointThatIsGoneOrHasMovedIsFree() {
        resolveComplete(ready("a", 1, 9), ready("b", 2, 9));

        assertEquals("a GONE, c READY", resolveChange(endpoint("a", 1, EndpointPhase.GONE, 9), ready("c", 1, 0)));
        assertEquals("b READY, d READY", resolveChange(ready("b", 3, 9), ready("d", 2, 0)));
    }

    /** Nothing tells which of the two is right. */
    @Test
    public void endpointsWithTheSameStartBothStay() {
        assertEquals("a READY, b READY", resolveComplete(ready("a", 1, 0), ready("b", 1, 0)));
        assertEquals("c READY", resolveChange(ready("c", 1, 0)));
    }

    @Test
    public void restartOfTheSameEndpointIsNoTakeover() {
        resolveComplete(ready("a", 1, 1));

        assertEquals("a READY", resolveChange(ready("a", 1, 2)));
    }
}
