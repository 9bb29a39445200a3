package fawnlb.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fawnlb.CapturedLog;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.ManualTimers;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class LastGoodEntriesTest {
    private static final DiscoveredEndpoint A = ready("a", 1);
    private static final DiscoveredEndpoint B = ready("b", 2);

    private final LastGoodEntries entries = new LastGoodEntries(new ManualTimers(0));

    private static DiscoveredEndpoint ready(String id, int port) {
        return new DiscoveredEndpoint(EndpointId.of(id), "10.0.0.1", port, "a", "c", 0, EndpointPhase.READY, 1, 1000);
    }

    private static InvalidEntry invalid(String id, EndpointPhase phase) {
        return new InvalidEntry(id, "size", phase);
    }

    private List<DiscoveredEndpoint> receive(boolean complete, InvalidEntry invalid, DiscoveredEndpoint... endpoints) {
        List<InvalidEntry> invalidEntries = invalid == null ? List.of() : List.of(invalid);
        EndpointList list = new EndpointList(3, complete, Arrays.asList(endpoints), invalidEntries);
        return entries.restore(list).endpoints();
    }

    @Test
    void knownEndpointKeepsItsLastGoodEntry() {
        receive(true, null, A, B);
        assertEquals(List.of(B, A), receive(true, invalid("a", EndpointPhase.READY), B));
        assertEquals(List.of(A), receive(false, invalid("a", null)));
        assertEquals(List.of(B, A), receive(true, invalid("a", EndpointPhase.READY), B));
    }

    /** Guards against requests to an endpoint whose drain is listed in an entry with another fault. */
    @Test
    void phaseThatCanBeReadCounts() {
        receive(true, null, A, B);
        DiscoveredEndpoint draining = A.withPhase(EndpointPhase.DRAINING);
        assertEquals(List.of(draining), receive(false, invalid("a", EndpointPhase.DRAINING)));
        assertEquals(List.of(draining), receive(false, invalid("a", null)));
        assertEquals(List.of(A.withPhase(EndpointPhase.GONE)), receive(false, invalid("a", EndpointPhase.GONE)));
        assertEquals(List.of(), receive(false, invalid("a", EndpointPhase.READY)));
    }

    @Test
    void entryOfTheSameListThatCanBeReadIsTheLastGoodOne() {
        receive(true, null, A, B);
        DiscoveredEndpoint moved = ready("a", 7);
        assertEquals(List.of(moved), receive(false, invalid("a", EndpointPhase.READY), moved));
    }

    @Test
    void unknownEndpointIsLeftOut() {
        receive(true, null, A, B);
        assertEquals(List.of(A), receive(true, invalid("c", EndpointPhase.READY), A));
        assertEquals(List.of(A), receive(true, invalid("b", EndpointPhase.READY), A));
        assertEquals(List.of(), receive(false, invalid("", EndpointPhase.READY)));
    }

    @Test
    void invalidEntryIsLogged() {
        try (CapturedLog log = new CapturedLog(LastGoodEntries.class.getName())) {
            receive(true, invalid("x y", EndpointPhase.READY), A);
            receive(true, invalid("", null), A);
            assertEquals(
                    List.of("listed endpoint can't be read backend=\"x y\" field=size known=no suppressed=0"),
                    log.lines());
        }
    }
}
