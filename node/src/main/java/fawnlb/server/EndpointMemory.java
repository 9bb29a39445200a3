package fawnlb.server;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListFormatException;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryPlan;
import fawnlb.memory.MemoryReservation;
import fawnlb.memory.MemoryUse;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/** Limits the number of endpoints to what there is room for, and reserves what they hold. */
@EventLoopOnly
final class EndpointMemory {
    private final int maxEndpoints;
    private final MemoryReservation reservation;

    EndpointMemory(MemoryBudget budget, int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
        this.reservation = budget.open(MemoryUse.ENDPOINTS);
    }

    /**
     * Checks a list that is about to be applied.
     *
     * @param isKnown whether there is an endpoint of an id before the list
     * @param knownEndpoints how many endpoints there are before the list
     * @throws EndpointListFormatException if there would be too many endpoints after it
     */
    void checkRoom(EndpointList list, Predicate<EndpointId> isKnown, int knownEndpoints)
            throws EndpointListFormatException {
        Set<EndpointId> listed = new HashSet<>();
        Set<EndpointId> gone = new HashSet<>();
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            (endpoint.phase() == EndpointPhase.GONE ? gone : listed).add(endpoint.id());
        }
        // An endpoint whose entry can't be read keeps its last one.
        list.invalidEntries().stream()
                .map(entry -> EndpointId.of(entry.id()))
                .filter(isKnown)
                .forEach(listed::add);
        long added = listed.stream().filter(id -> !isKnown.test(id)).count();
        long removed = gone.stream().filter(isKnown::test).count();
        int count = list.complete() ? listed.size() : (int) (knownEndpoints + added - removed);
        if (count > Math.max(maxEndpoints, knownEndpoints)) {
            throw EndpointListFormatException.tooManyEndpoints(count, maxEndpoints);
        }
    }

    /** Reserves what the present endpoints hold, once a list has been applied. */
    void reserve(int endpoints) {
        reservation.resize(endpoints * MemoryPlan.ENDPOINT_BYTES);
    }
}
