package fawnlb.cli;

import fawnlb.config.StartConfig;
import fawnlb.discovery.MemberList;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.Snapshot.Entry;
import fawnlb.snapshot.SnapshotStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The list that a node starts from. {@code snapshot}: what was kept on disk, null if the list comes from elsewhere;
 * {@code heard}: when each backend was last heard of, in nanoseconds since the epoch, for those where that is known.
 */
record Remembered(MemberList list, Snapshot snapshot, Map<Long, Long> heard) {
    private static final Logger LOG = Logger.getLogger(Remembered.class.getName());
    private static final long MS = 1_000_000;
    /** Clocks of one machine before and after a restart differ by no more than this, unless one was set. */
    private static final long TOLERANCE_MS = 5_000;

    /**
     * The newest usable generation on disk, else the configuration's list, else a snapshot whose age can't be known,
     * else nothing. A file that can't be used is one line in the log.
     *
     * @param now nanoseconds since the epoch
     */
    static Remembered read(StartConfig start, MemberList known, long now) {
        if (start.snapshot() != null) {
            SnapshotStore.Found found = new SnapshotStore(start.snapshot()).read(now / MS, TOLERANCE_MS);
            found.faults().forEach(fault -> LOG.warning("remembered list not usable: " + fault));
            boolean listed = known != null && !known.members().isEmpty();
            if (found.snapshot() != null && !(found.future() && listed)) {
                return of(found, start.oldest(), now);
            }
        }
        return new Remembered(known == null ? new MemberList(0, true, List.of()) : known, null, Map.of());
    }

    /** Discovery is asked for the whole list, from revision 0: it may have counted anew since. */
    private static Remembered of(SnapshotStore.Found found, long oldest, long now) {
        Snapshot snapshot = found.snapshot();
        Map<Long, Long> heard = new HashMap<>();
        List<Entry> recent = snapshot.entries().stream()
                .filter(entry -> found.future() || now - entry.heardAt() * MS <= oldest)
                .toList();
        if (!found.future()) {
            recent.forEach(entry -> heard.put(entry.member().number(), entry.heardAt() * MS));
        }
        LOG.info("remembered " + recent.size() + " of " + snapshot.entries().size() + " targets from " + found.from()
                + (found.future()
                        ? ", its age unknown"
                        : ", written " + (now / MS - snapshot.savedAt()) / 1000 + " s ago"));
        return new Remembered(
                new MemberList(0, true, recent.stream().map(Entry::member).toList()),
                new Snapshot(snapshot.savedAt(), snapshot.revision(), recent),
                heard);
    }
}
