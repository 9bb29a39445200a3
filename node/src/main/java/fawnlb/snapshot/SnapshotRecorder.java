package fawnlb.snapshot;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import fawnlb.filter.EndpointFilter;
import fawnlb.snapshot.Snapshot.Entry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects what a snapshot holds: it receives each list from discovery, and sees each response that starts. As a filter
 * it changes nothing. Its public methods may be called from any thread; the work is done on the thread of its mailbox.
 */
@ThreadSafe
public final class SnapshotRecorder implements EndpointFilter {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Mailbox mailbox;
    private final Timers timers;
    private final WriteIntervals intervals;
    private final SnapshotWriter writer;
    private final Map<EndpointId, Entry> entries = new HashMap<>();
    private long revision;

    /**
     * Creates a recorder that holds nothing.
     *
     * @param diskMailbox runs the writes, on a thread that may block
     */
    public SnapshotRecorder(
            Mailbox mailbox, Mailbox diskMailbox, Timers timers, SnapshotStore store, WriteIntervals intervals) {
        this.mailbox = mailbox;
        this.timers = timers;
        this.intervals = intervals;
        this.writer = new SnapshotWriter(mailbox, diskMailbox, timers, store, intervals, this::snapshot);
    }

    private Snapshot snapshot(long savedAtMillis) {
        return entries.isEmpty() ? null : new Snapshot(savedAtMillis, revision, List.copyOf(entries.values()));
    }

    /** Takes what the instance starts from; it is written again until discovery says otherwise. */
    public void restore(Snapshot snapshot) {
        mailbox.tell(() -> {
            revision = snapshot.revision();
            snapshot.entries().forEach(entry -> entries.put(entry.endpoint().id(), entry));
        });
    }

    /**
     * Takes what discovery says. A whole list that names nobody is ignored: an instance could not start from it.
     *
     * @param list the endpoint list; null if a call has failed
     */
    public void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList list) {
        if (list == null || kind == EndpointUpdateKind.CACHED) {
            return;
        }
        if (!list.complete() || !list.endpoints().isEmpty()) {
            mailbox.tell(() -> merge(list));
        }
    }

    private void merge(EndpointList list) {
        long now = timers.now();
        revision = list.revision();
        Set<EndpointId> namedIds = new HashSet<>();
        boolean changed = false;
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            if (endpoint.phase() == EndpointPhase.GONE) {
                changed |= entries.remove(endpoint.id()) != null;
            } else {
                namedIds.add(endpoint.id());
                changed |= mergeEndpoint(now, endpoint);
            }
        }
        if (list.complete()) {
            changed |= entries.keySet().retainAll(namedIds);
        } else {
            markAllListed(now);
        }
        writer.requestWrite(now + (changed ? 0 : intervals.refreshIntervalNanos()));
    }

    /** Whether the endpoint is new, or differs from what was held. One that has restarted has not responded yet. */
    private boolean mergeEndpoint(long now, DiscoveredEndpoint endpoint) {
        Entry previous = entries.get(endpoint.id());
        boolean sameStart = previous != null && previous.endpoint().upSinceMillis() == endpoint.upSinceMillis();
        long lastResponseAtMillis = sameStart ? previous.lastResponseAtMillis() : 0;
        entries.put(endpoint.id(), new Entry(endpoint, now / NANOS_PER_MILLISECOND, lastResponseAtMillis));
        return previous == null || !previous.endpoint().equals(endpoint);
    }

    /** An endpoint that is not among the changes is still listed. */
    private void markAllListed(long now) {
        entries.replaceAll(
                (id, entry) -> new Entry(entry.endpoint(), now / NANOS_PER_MILLISECOND, entry.lastResponseAtMillis()));
    }

    @Override
    public EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update) {
        return update;
    }

    @Override
    public EndpointsUpdated onEvent(long now, LoadBalancerEvent event) {
        if (event instanceof ResponseStarted started) {
            mailbox.tell(() -> onResponse(now, started.endpointId()));
        }
        return null;
    }

    private void onResponse(long now, EndpointId endpointId) {
        Entry entry = entries.get(endpointId);
        if (entry != null) {
            entries.put(
                    endpointId, new Entry(entry.endpoint(), entry.lastListedAtMillis(), now / NANOS_PER_MILLISECOND));
            writer.requestWrite(now + intervals.refreshIntervalNanos());
        }
    }

    @Override
    public long nextWakeupAt() {
        return NEVER;
    }

    @Override
    public EndpointsUpdated onWakeup(long now) {
        return null;
    }
}
