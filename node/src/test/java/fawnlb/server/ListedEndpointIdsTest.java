package fawnlb.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.CapturedLog;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.ManualTimers;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListedEndpointIdsTest {
    private static final EndpointId A = new EndpointId("a", 7);
    private static final EndpointId B = new EndpointId("b", 7);
    private static final EndpointId C = new EndpointId("c", 8);

    private final ListedEndpointIds listed = new ListedEndpointIds(new ManualTimers(0));

    private void receive(boolean complete, EndpointPhase phase, EndpointId... ids) {
        List<DiscoveredEndpoint> endpoints = Arrays.stream(ids)
                .map(id -> new DiscoveredEndpoint(id, "127.0.0.1", 9000, "a", "c", 0, phase, 1, 0))
                .toList();
        listed.update(new EndpointList(1, complete, endpoints));
    }

    @Test
    void changesAddAndRemoveAndCompleteListsReplace() {
        receive(true, EndpointPhase.READY, A, B);
        receive(false, EndpointPhase.DRAINING, C);
        receive(false, EndpointPhase.GONE, A);
        assertFalse(listed.contains(A));
        assertEquals(2, listed.size());

        receive(true, EndpointPhase.READY, A, C);
        assertTrue(listed.contains(A));
        assertFalse(listed.contains(B));
        assertEquals(2, listed.size());
    }

    /** Guards against two endpoints that look like one because the hashes of their ids are equal. */
    @Test
    void idsWithOneHashStayTwoAndAreLoggedOnce() {
        try (CapturedLog log = new CapturedLog(ListedEndpointIds.class.getName())) {
            receive(true, EndpointPhase.READY, B, C, A);
            receive(true, EndpointPhase.READY, A, B, C);

            assertEquals(3, listed.size());
            assertEquals(
                    List.of("endpoints share their points on the hash ring backend=a other=b suppressed=0"),
                    log.lines());
        }
    }
}
