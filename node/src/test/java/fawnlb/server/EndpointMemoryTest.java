package fawnlb.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListFormatException;
import fawnlb.discovery.InvalidEntry;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryPlan;
import fawnlb.memory.MemoryUse;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class EndpointMemoryTest {
    private static final int LIMIT = 3;

    private final MemoryBudget budget = MemoryBudget.unlimited();
    private final EndpointMemory memory = new EndpointMemory(budget, LIMIT);

    private static DiscoveredEndpoint endpoint(int number, EndpointPhase phase) {
        return new DiscoveredEndpoint(
                EndpointId.of("s-0000000" + number), "127.0.0.1", 9000 + number, "a", "c", 0, phase, 1, 0);
    }

    private static EndpointList list(boolean complete, EndpointPhase phase, int... numbers) {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (int number : numbers) {
            endpoints.add(endpoint(number, phase));
        }
        return new EndpointList(1, complete, endpoints);
    }

    /** Checks a list while the endpoints 1 to the given number are known. */
    private void check(EndpointList list, int known) throws EndpointListFormatException {
        List<EndpointId> knownIds = new ArrayList<>();
        for (int number = 1; number <= known; number++) {
            knownIds.add(endpoint(number, EndpointPhase.READY).id());
        }
        memory.checkRoom(list, knownIds::contains, known);
    }

    @Test
    public void listsOverTheLimitAreRejected() throws EndpointListFormatException {
        check(list(true, EndpointPhase.READY, 1, 2, 3), 0);
        check(list(false, EndpointPhase.READY, 1, 2, 3), 2);
        check(list(false, EndpointPhase.GONE, 4, 5, 6, 7), 3);

        assertThrows(EndpointListFormatException.class, () -> check(list(true, EndpointPhase.READY, 1, 2, 3, 4), 0));
        EndpointListFormatException failure =
                assertThrows(EndpointListFormatException.class, () -> check(list(false, EndpointPhase.DRAINING, 4), 3));
        assertEquals(EndpointListFormatException.Reason.TOO_LARGE, failure.reason());
        assertTrue(failure.getMessage(), failure.getMessage().contains("4 endpoints, over the limit of 3"));
    }

    /** Guards against lists that hold more than there is room for: endpoints whose ids end alike counted as one. */
    @Test
    public void endpointsWhoseIdsEndAlikeAreCountedEach() {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (String id : List.of("s-0000000a", "t-0000000a", "u-0000000a", "v-0000000a")) {
            endpoints.add(new DiscoveredEndpoint(
                    EndpointId.of(id), "127.0.0.1", 9000, "a", "c", 0, EndpointPhase.READY, 1, 0));
        }

        assertThrows(EndpointListFormatException.class, () -> check(new EndpointList(1, true, endpoints), 0));
    }

    @Test
    public void knownEndpointsWhoseEntriesCannotBeReadAreCounted() throws EndpointListFormatException {
        EndpointList list = list(true, EndpointPhase.READY, 2, 3, 4);
        List<InvalidEntry> invalidEntries = List.of(new InvalidEntry("s-00000001", "size", EndpointPhase.READY));
        EndpointList withInvalidEntry = new EndpointList(1, true, list.endpoints(), invalidEntries);

        check(withInvalidEntry, 0);
        assertThrows(EndpointListFormatException.class, () -> check(withInvalidEntry, 1));
    }

    @Test
    public void changeMayReplaceEndpointsAtTheLimit() throws EndpointListFormatException {
        List<DiscoveredEndpoint> replacement =
                List.of(endpoint(1, EndpointPhase.GONE), endpoint(4, EndpointPhase.READY));

        check(new EndpointList(2, false, replacement), LIMIT);
    }

    @Test
    public void endpointsAreReserved() {
        memory.reserve(2);

        assertEquals(2 * MemoryPlan.ENDPOINT_BYTES, budget.reservedBytes(MemoryUse.ENDPOINTS));
    }
}
