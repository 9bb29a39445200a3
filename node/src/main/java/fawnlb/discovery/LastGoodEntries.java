package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.RateLimitedLog;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Stands in for entries that can't be read: an endpoint that was listed before keeps its last entry that could be read,
 * any other one is left out. That an endpoint drains or has gone counts where the phase can be read. Entries that can't
 * be read are logged.
 */
@EventLoopOnly
public final class LastGoodEntries {
    private final Map<EndpointId, DiscoveredEndpoint> entries = new HashMap<>();
    private final RateLimitedLog log;

    /** Creates one that knows no entry. */
    public LastGoodEntries(Timers timers) {
        this.log = new RateLimitedLog(Logger.getLogger(LastGoodEntries.class.getName()), Level.WARNING, timers);
    }

    /** Returns the list with the last good entries of endpoints whose entries can't be read. */
    public EndpointList restore(EndpointList list) {
        if (list.complete()) {
            entries.keySet().retainAll(namedIds(list));
        }
        list.endpoints().forEach(this::keep);
        if (list.invalidEntries().isEmpty()) {
            return list;
        }
        Map<EndpointId, DiscoveredEndpoint> endpoints = new LinkedHashMap<>();
        list.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        list.invalidEntries().forEach(invalid -> restoreEntry(invalid, endpoints));
        return list.withEndpoints(List.copyOf(endpoints.values()));
    }

    private static Set<EndpointId> namedIds(EndpointList list) {
        Set<EndpointId> ids = list.invalidEntries().stream()
                .map(invalid -> EndpointId.of(invalid.id()))
                .collect(Collectors.toSet());
        ids.addAll(list.ids());
        return ids;
    }

    private void restoreEntry(InvalidEntry invalid, Map<EndpointId, DiscoveredEndpoint> endpoints) {
        DiscoveredEndpoint last = entries.get(EndpointId.of(invalid.id()));
        log.log(() -> LogLine.event("listed endpoint can't be read")
                .backend(invalid.id())
                .with("field", invalid.field())
                .with("known", last == null ? "no" : "yes"));
        if (last != null) {
            boolean isLeaving = invalid.phase() != null && invalid.phase() != EndpointPhase.READY;
            DiscoveredEndpoint restored = isLeaving ? last.withPhase(invalid.phase()) : last;
            endpoints.put(restored.id(), restored);
            keep(restored);
        }
    }

    private void keep(DiscoveredEndpoint endpoint) {
        if (endpoint.phase() == EndpointPhase.GONE) {
            entries.remove(endpoint.id());
        } else {
            entries.put(endpoint.id(), endpoint);
        }
    }
}
