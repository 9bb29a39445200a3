package fawnlb.snapshot;

import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import fawnlb.filter.EndpointFilter;
import fawnlb.snapshot.Snapshot.Entry;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/**
 * The actor that remembers the list: it hears every list and every answer, and has them written down. As a view it
 * changes nothing. Its own mailbox runs on the I/O thread; the disk has one of its own on another thread, and gets no
 * second snapshot before it is done with the first, so a slow disk delays nothing but the next snapshot.
 */
public final class SnapshotRecorder implements EndpointFilter {
    private static final Logger LOG = Logger.getLogger(SnapshotRecorder.class.getName());
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Mailbox mailbox;
    private final Mailbox diskMailbox;
    private final Timers timers;
    private final SnapshotStore store;
    private final WriteIntervals intervals;
    private final Map<Long, Entry> entries = new HashMap<>();
    private long revision;
    private boolean writeInProgress;
    private boolean lastWriteFailed;
    private long requestedWriteAt = NEVER;
    private long lastWriteAt;
    private Timers.Timer writeTimer;

    /**
     * How often to write, in nanoseconds. {@code minIntervalNanos}: between two snapshots;
     * {@code refreshIntervalNanos}: after an answer, which changes nothing but an age.
     */
    public record WriteIntervals(long minIntervalNanos, long refreshIntervalNanos) {}

    public SnapshotRecorder(
            Mailbox mailbox, Mailbox diskMailbox, Timers timers, SnapshotStore store, WriteIntervals intervals) {
        this.mailbox = mailbox;
        this.diskMailbox = diskMailbox;
        this.timers = timers;
        this.store = store;
        this.intervals = intervals;
        this.lastWriteAt = timers.now() - intervals.refreshIntervalNanos();
    }

    /** What the node starts from; it stays remembered until discovery says otherwise. */
    public void restore(Snapshot snapshot) {
        mailbox.tell(() -> {
            revision = snapshot.revision();
            snapshot.entries().forEach(entry -> entries.put(entry.endpoint().numericId(), entry));
        });
    }

    /** Discovery's word. An empty whole list names nobody and is no better to remember than what was there. */
    public void onDiscoveryUpdate(EndpointUpdateKind kind, EndpointList list) {
        if (list != null
                && kind != EndpointUpdateKind.CACHED
                && !(list.complete() && list.endpoints().isEmpty())) {
            mailbox.tell(() -> merge(list));
        }
    }

    private void merge(EndpointList list) {
        long now = timers.now();
        revision = list.revision();
        Set<Long> namedIds = new HashSet<>();
        boolean changed = false;
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            Entry previous = entries.get(endpoint.numericId());
            if (endpoint.phase() == EndpointPhase.GONE) {
                changed |= entries.remove(endpoint.numericId()) != null;
            } else {
                namedIds.add(endpoint.numericId());
                // One that has started anew has not answered yet.
                boolean sameStart = previous != null && previous.endpoint().upSinceMillis() == endpoint.upSinceMillis();
                changed |= previous == null || !previous.endpoint().equals(endpoint);
                entries.put(
                        endpoint.numericId(),
                        new Entry(
                                endpoint,
                                now / NANOS_PER_MILLISECOND,
                                sameStart ? previous.lastResponseAtMillis() : 0));
            }
        }
        if (list.complete()) {
            changed |= entries.keySet().retainAll(namedIds);
        } else {
            // Who is not among the changes is still listed.
            entries.replaceAll((number, entry) ->
                    new Entry(entry.endpoint(), now / NANOS_PER_MILLISECOND, entry.lastResponseAtMillis()));
        }
        requestWrite(now + (changed ? 0 : intervals.refreshIntervalNanos()));
    }

    @Override
    public EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update) {
        return update;
    }

    @Override
    public EndpointsUpdated onEvent(long now, LoadBalancerEvent event) {
        if (event instanceof ResponseStarted started) {
            mailbox.tell(() -> {
                Entry entry = entries.get(started.endpointId());
                if (entry != null) {
                    entries.put(
                            started.endpointId(),
                            new Entry(entry.endpoint(), entry.lastListedAtMillis(), now / NANOS_PER_MILLISECOND));
                    requestWrite(now + intervals.refreshIntervalNanos());
                }
            });
        }
        return null;
    }

    @Override
    public long nextWakeupAt() {
        return NEVER;
    }

    @Override
    public EndpointsUpdated onWakeup(long now) {
        return null;
    }

    private void requestWrite(long requestedAt) {
        if (requestedAt >= requestedWriteAt) {
            return;
        }
        requestedWriteAt = requestedAt;
        if (writeTimer != null) {
            writeTimer.cancel();
        }
        long writeAt = Math.max(requestedAt, lastWriteAt + intervals.minIntervalNanos());
        writeTimer = timers.schedule(writeAt - timers.now(), () -> mailbox.tellAlways(this::startWrite));
    }

    private void startWrite() {
        if (writeInProgress || entries.isEmpty()) {
            return;
        }
        writeInProgress = true;
        requestedWriteAt = NEVER;
        lastWriteAt = timers.now();
        Snapshot snapshot = new Snapshot(lastWriteAt / NANOS_PER_MILLISECOND, revision, List.copyOf(entries.values()));
        diskMailbox.tellOrFail(
                () -> {
                    String failure = null;
                    try {
                        store.write(snapshot);
                    } catch (IOException | RuntimeException e) {
                        failure = e.toString();
                    }
                    String reportedFailure = failure;
                    mailbox.tellAlways(() -> onWriteFinished(reportedFailure));
                },
                () -> mailbox.tellAlways(() -> onWriteFinished("the disk's thread could not take it")));
    }

    private void onWriteFinished(String failure) {
        writeInProgress = false;
        if (failure != null && !lastWriteFailed) {
            LOG.warning("the list is not remembered, trying again every "
                    + intervals.refreshIntervalNanos() / NANOS_PER_MILLISECOND / 1000 + " s: " + failure);
        } else if (failure == null && lastWriteFailed) {
            LOG.info("the list is remembered again");
        }
        lastWriteFailed = failure != null;
        long nextWriteAt = lastWriteFailed ? timers.now() + intervals.refreshIntervalNanos() : requestedWriteAt;
        requestedWriteAt = NEVER;
        if (nextWriteAt != NEVER) {
            requestWrite(nextWriteAt);
        }
    }
}
