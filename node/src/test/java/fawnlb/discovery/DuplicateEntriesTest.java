package fawnlb.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import fawnlb.CapturedLog;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

class DuplicateEntriesTest {
    private final DuplicateEntries duplicates = new DuplicateEntries(new ManualTimers(0));

    private static DiscoveredEndpoint endpoint(String id, int port, EndpointPhase phase, long upSinceMillis) {
        return new DiscoveredEndpoint(EndpointId.of(id), "10.0.0.1", port, "a", "c", 0, phase, 1, upSinceMillis);
    }

    private static DiscoveredEndpoint ready(String id, int port, long upSinceMillis) {
        return endpoint(id, port, EndpointPhase.READY, upSinceMillis);
    }

    private static EndpointList list(DiscoveredEndpoint... endpoints) {
        return new EndpointList(4, true, List.of(endpoints));
    }

    private List<DiscoveredEndpoint> remove(DiscoveredEndpoint... endpoints) {
        return duplicates.remove(list(endpoints)).endpoints();
    }

    @Test
    void listThatNamesEachEndpointOnceStaysAsItIs() {
        EndpointList list = list(ready("a", 1, 0), ready("b", 1, 0));
        assertSame(list, duplicates.remove(list));
    }

    /** Guards against nodes that disagree on the server of an id, where the order of their lists differs. */
    @Test
    void entryThatStartedLastCountsInEachOrder() {
        DiscoveredEndpoint former = ready("a", 1, 1000);
        DiscoveredEndpoint present = ready("a", 2, 2000);
        DiscoveredEndpoint other = ready("b", 3, 0);
        assertEquals(List.of(present, other), remove(former, other, present));
        assertEquals(List.of(present, other), remove(present, other, former));
    }

    /** Changes are listed in their order, and a removal need not say when the endpoint had started. */
    @Test
    void laterEntryCountsAmongThoseOfOneStartAndAfterARemoval() {
        DiscoveredEndpoint ready = ready("a", 1, 1000);
        DiscoveredEndpoint draining = endpoint("a", 1, EndpointPhase.DRAINING, 1000);
        DiscoveredEndpoint gone = endpoint("a", 1, EndpointPhase.GONE, 0);
        assertEquals(List.of(draining), remove(ready, draining));
        assertEquals(List.of(gone), remove(ready, gone));
        assertEquals(List.of(ready), remove(gone, ready));
    }

    @Test
    void entriesWithTwoAddressesAreLogged() {
        try (CapturedLog log = new CapturedLog(DuplicateEntries.class.getName())) {
            remove(ready("a b", 1, 0), ready("a b", 2, 0));
            remove(ready("c", 1, 0), endpoint("c", 1, EndpointPhase.DRAINING, 0));
            remove(endpoint("d", 1, EndpointPhase.GONE, 0), ready("d", 2, 0));
            assertEquals(
                    List.of("endpoint listed at two addresses backend=\"a b\" used=10.0.0.1:2 ignored=10.0.0.1:1"
                            + " suppressed=0"),
                    log.lines());
        }
    }
}
