package fawnlb.server;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.EventLoopOnly;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the listed endpoints, as of the latest list that was accepted. The backends follow with the message by
 * which the load balancer learns of the list.
 */
@EventLoopOnly
final class ListedEndpointIds {
    private final Set<EndpointId> ids = new HashSet<>();

    /** Takes a list over; a complete one names the endpoints that are gone by leaving them out. */
    void update(EndpointList list) {
        if (list.complete()) {
            ids.retainAll(list.ids());
        }
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            if (endpoint.phase() == EndpointPhase.GONE) {
                ids.remove(endpoint.id());
            } else {
                ids.add(endpoint.id());
            }
        }
    }

    boolean contains(EndpointId id) {
        return ids.contains(id);
    }

    int size() {
        return ids.size();
    }
}
