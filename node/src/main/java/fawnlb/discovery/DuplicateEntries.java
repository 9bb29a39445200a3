package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.RateLimitedLog;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.LogLine;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Leaves one entry for each id in a list that names an endpoint more than once. Of entries that say when the endpoint
 * started, the latest start counts, in whatever order they are listed; otherwise the later entry does, since changes
 * are listed in their order. Entries of one id at two addresses are logged.
 */
@EventLoopOnly
public final class DuplicateEntries {
    private final RateLimitedLog log;

    /** Creates a filter of lists. */
    public DuplicateEntries(Timers timers) {
        this.log = new RateLimitedLog(Logger.getLogger(DuplicateEntries.class.getName()), Level.WARNING, timers);
    }

    /** Returns the list with one entry for each id, the list itself if it has no more. */
    public EndpointList remove(EndpointList list) {
        Map<EndpointId, DiscoveredEndpoint> entries = new LinkedHashMap<>();
        list.endpoints().forEach(entry -> entries.merge(entry.id(), entry, this::chooseEntry));
        return entries.size() == list.endpoints().size() ? list : list.withEndpoints(List.copyOf(entries.values()));
    }

    private DiscoveredEndpoint chooseEntry(DiscoveredEndpoint former, DiscoveredEndpoint later) {
        if (isGone(former) || isGone(later)) {
            return later;
        }
        boolean startedEarlier = later.upSinceMillis() < former.upSinceMillis();
        DiscoveredEndpoint used = startedEarlier ? former : later;
        DiscoveredEndpoint ignored = startedEarlier ? later : former;
        if (!used.hostAndPort().equals(ignored.hostAndPort())) {
            log.log(() -> LogLine.event("endpoint listed at two addresses")
                    .backend(used.id().name())
                    .with("used", used.hostAndPort())
                    .with("ignored", ignored.hostAndPort()));
        }
        return used;
    }

    private static boolean isGone(DiscoveredEndpoint endpoint) {
        return endpoint.phase() == EndpointPhase.GONE;
    }
}
