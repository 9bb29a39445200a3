package fawnlb.server;

import fawnlb.config.StartupConfiguration;
import fawnlb.discovery.EndpointList;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.Snapshot.Entry;
import fawnlb.snapshot.SnapshotStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The list that a node starts from. {@code snapshotFile}: what was kept on disk, null if the list comes from elsewhere;
 * {@code lastHeardNanos}: when each backend was last heard of, in nanoseconds since the epoch, for those where that is
 * known.
 */
record RestoredEndpoints(EndpointList endpointList, Snapshot snapshot, Map<Long, Long> lastHeardNanos) {
    private static final Logger LOG = Logger.getLogger(RestoredEndpoints.class.getName());
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Clocks of one machine before and after a restart differ by no more than this, unless one was set. */
    private static final long CLOCK_TOLERANCE_MILLIS = 5_000;

    /**
     * The newest usable generation on disk, else the configuration's list, else a snapshot whose age can't be known,
     * else nothing. A file that can't be used is one line in the log.
     *
     * @param nowNanos nanoseconds since the epoch
     */
    static RestoredEndpoints read(StartupConfiguration startup, EndpointList configuredList, long nowNanos) {
        if (startup.snapshotFile() != null) {
            SnapshotStore.ReadResult found =
                    new SnapshotStore(startup.snapshotFile()).read(nowNanos / NANOS_PER_MILLI, CLOCK_TOLERANCE_MILLIS);
            found.faults().forEach(fault -> LOG.warning("remembered list not usable: " + fault));
            boolean hasConfiguredEndpoints =
                    configuredList != null && !configuredList.endpoints().isEmpty();
            if (found.snapshot() != null && !(found.isFromFuture() && hasConfiguredEndpoints)) {
                return fromSnapshot(found, startup.maxSnapshotAgeNanos(), nowNanos);
            }
        }
        return new RestoredEndpoints(
                configuredList == null ? new EndpointList(0, true, List.of()) : configuredList, null, Map.of());
    }

    /** Discovery is asked for the whole list, from revision 0: it may have counted anew since. */
    private static RestoredEndpoints fromSnapshot(SnapshotStore.ReadResult found, long maxAgeNanos, long nowNanos) {
        Snapshot snapshot = found.snapshot();
        Map<Long, Long> lastHeardNanos = new HashMap<>();
        List<Entry> recent = snapshot.entries().stream()
                .filter(entry ->
                        found.isFromFuture() || nowNanos - entry.lastContactAtMillis() * NANOS_PER_MILLI <= maxAgeNanos)
                .toList();
        if (!found.isFromFuture()) {
            recent.forEach(entry ->
                    lastHeardNanos.put(entry.endpoint().numericId(), entry.lastContactAtMillis() * NANOS_PER_MILLI));
        }
        LOG.info("remembered " + recent.size() + " of " + snapshot.entries().size() + " targets from " + found.file()
                + (found.isFromFuture()
                        ? ", its age unknown"
                        : ", written " + (nowNanos / NANOS_PER_MILLI - snapshot.savedAtMillis()) / 1000 + " s ago"));
        return new RestoredEndpoints(
                new EndpointList(0, true, recent.stream().map(Entry::endpoint).toList()),
                new Snapshot(snapshot.savedAtMillis(), snapshot.revision(), recent),
                lastHeardNanos);
    }
}
