package fawnlb.server;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.RateLimitedLog;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The ids of the listed endpoints, as of the latest list that was accepted. The backends follow with the message by
 * which the load balancer learns of the list.
 *
 * <p>Two ids may have one hash. Their endpoints stay two and share their points on the hash ring, which is logged when
 * the second one joins.
 */
@EventLoopOnly
final class ListedEndpointIds {
    /** Ids with one hash are neighbors. */
    private static final Comparator<EndpointId> BY_RING_SEED =
            Comparator.comparingLong(EndpointId::ringSeed).thenComparing(EndpointId::name);

    private final NavigableSet<EndpointId> ids = new TreeSet<>(BY_RING_SEED);
    private final RateLimitedLog log;

    ListedEndpointIds(Timers timers) {
        this.log = new RateLimitedLog(Logger.getLogger(ListedEndpointIds.class.getName()), Level.WARNING, timers);
    }

    /** Takes a list over; a complete one names the endpoints that are gone by leaving them out. */
    void update(EndpointList list) {
        if (list.complete()) {
            ids.retainAll(list.ids());
        }
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            if (endpoint.phase() == EndpointPhase.GONE) {
                ids.remove(endpoint.id());
            } else if (ids.add(endpoint.id())) {
                logSharedRingSeed(endpoint.id(), ids.lower(endpoint.id()));
                logSharedRingSeed(endpoint.id(), ids.higher(endpoint.id()));
            }
        }
    }

    /** Logs that two ids have one hash, unless they have not, or there is no other one. */
    private void logSharedRingSeed(EndpointId joined, EndpointId neighbor) {
        if (neighbor != null && neighbor.ringSeed() == joined.ringSeed()) {
            log.log(() -> LogLine.event("endpoints share their points on the hash ring")
                    .backend(joined.name())
                    .withId("other", neighbor.name()));
        }
    }

    boolean contains(EndpointId id) {
        return ids.contains(id);
    }

    int size() {
        return ids.size();
    }
}
