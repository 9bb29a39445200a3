package fawnlb.server;

import fawnlb.config.StartupConfiguration;
import fawnlb.decision.EndpointId;
import fawnlb.discovery.EndpointList;
import fawnlb.metrics.LogLine;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.Snapshot.Entry;
import fawnlb.snapshot.SnapshotStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The endpoints that a server starts from.
 *
 * @param snapshot the snapshot that they come from, null if they come from the configuration
 * @param lastContactAtNanos when discovery or a backend last confirmed each endpoint, by the endpoint's id, in
 *     nanoseconds since the epoch; endpoints for which that is not known are missing
 */
record RestoredEndpoints(EndpointList endpointList, Snapshot snapshot, Map<EndpointId, Long> lastContactAtNanos) {
    private static final Logger LOG = Logger.getLogger(RestoredEndpoints.class.getName());
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1000;
    /** Clocks of one machine before and after a restart differ by no more than this, unless one was set. */
    private static final long CLOCK_TOLERANCE_MILLIS = 5_000;

    /**
     * Reads the newest usable generation of the snapshot. If there is none, or if the clock says that it comes from the
     * future, the configured list is used where it has endpoints. What cannot be read is logged.
     *
     * @param configuredList the endpoint list of the configuration file, null if it has none
     * @param nowNanos nanoseconds since the epoch
     */
    static RestoredEndpoints read(StartupConfiguration startup, EndpointList configuredList, long nowNanos) {
        if (startup.snapshotFile() != null) {
            SnapshotStore.ReadResult found =
                    new SnapshotStore(startup.snapshotFile()).read(nowNanos / NANOS_PER_MILLI, CLOCK_TOLERANCE_MILLIS);
            found.faults().forEach(RestoredEndpoints::logFault);
            boolean hasConfiguredEndpoints =
                    configuredList != null && !configuredList.endpoints().isEmpty();
            if (found.snapshot() != null && !(found.isFromFuture() && hasConfiguredEndpoints)) {
                return fromSnapshot(found, startup.maxSnapshotAgeNanos(), nowNanos);
            }
        }
        EndpointList list = configuredList == null ? new EndpointList(0, true, List.of()) : configuredList;
        return new RestoredEndpoints(list, null, Map.of());
    }

    /**
     * Restores the endpoints that were confirmed recently enough. Their list has revision 0, so that discovery is asked
     * for the full list: it may have counted its revisions anew since.
     */
    private static RestoredEndpoints fromSnapshot(SnapshotStore.ReadResult found, long maxAgeNanos, long nowNanos) {
        Snapshot snapshot = found.snapshot();
        List<Entry> recent = snapshot.entries().stream()
                .filter(entry -> found.isFromFuture() || nowNanos - lastContactNanos(entry) <= maxAgeNanos)
                .toList();
        Map<EndpointId, Long> lastContactAtNanos = new HashMap<>();
        if (!found.isFromFuture()) {
            recent.forEach(entry -> lastContactAtNanos.put(entry.endpoint().id(), lastContactNanos(entry)));
        }
        logRestored(found, recent.size(), nowNanos);
        return new RestoredEndpoints(
                new EndpointList(0, true, recent.stream().map(Entry::endpoint).toList()),
                new Snapshot(snapshot.savedAtMillis(), snapshot.revision(), recent),
                lastContactAtNanos);
    }

    private static long lastContactNanos(Entry entry) {
        return entry.lastContactAtMillis() * NANOS_PER_MILLI;
    }

    private static void logFault(String fault) {
        LOG.warning(LogLine.event("snapshot not usable").reason(fault).toString());
    }

    private static void logRestored(SnapshotStore.ReadResult found, int restoredCount, long nowNanos) {
        Snapshot snapshot = found.snapshot();
        LogLine line = LogLine.event("endpoints restored from snapshot")
                .with("restored", restoredCount)
                .with("in_snapshot", snapshot.entries().size())
                .with("file", String.valueOf(found.file()));
        if (found.isFromFuture()) {
            line.with("age_s", "unknown");
        } else {
            line.with("age_s", (nowNanos / NANOS_PER_MILLI - snapshot.savedAtMillis()) / MILLIS_PER_SECOND);
        }
        LOG.info(line.toString());
    }
}
