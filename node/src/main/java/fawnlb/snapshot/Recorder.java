package fawnlb.snapshot;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.Event;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Listed;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Started;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
import fawnlb.snapshot.Snapshot.Entry;
import fawnlb.view.View;
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
public final class Recorder implements View {
    private static final Logger LOG = Logger.getLogger(Recorder.class.getName());
    private static final long MS = 1_000_000;

    private final Mailbox mailbox;
    private final Mailbox disk;
    private final Timers timers;
    private final SnapshotStore store;
    private final Pace pace;
    private final Map<Long, Entry> entries = new HashMap<>();
    private long revision;
    private boolean writing;
    private boolean failed;
    private long wantedAt = NEVER;
    private long writtenAt;
    private Timers.Timer timer;

    /**
     * How often to write, in nanoseconds. {@code least}: between two snapshots; {@code refresh}: after an answer, which
     * changes nothing but an age.
     */
    public record Pace(long least, long refresh) {}

    public Recorder(Mailbox mailbox, Mailbox disk, Timers timers, SnapshotStore store, Pace pace) {
        this.mailbox = mailbox;
        this.disk = disk;
        this.timers = timers;
        this.store = store;
        this.pace = pace;
        this.writtenAt = timers.now() - pace.refresh();
    }

    /** What the node starts from; it stays remembered until discovery says otherwise. */
    public void remembers(Snapshot snapshot) {
        mailbox.tell(() -> {
            revision = snapshot.revision();
            snapshot.entries().forEach(entry -> entries.put(entry.member().number(), entry));
        });
    }

    /** Discovery's word. An empty whole list names nobody and is no better to remember than what was there. */
    public void heard(ListKind kind, MemberList list) {
        if (list != null
                && kind != ListKind.CACHED
                && !(list.complete() && list.members().isEmpty())) {
            mailbox.tell(() -> take(list));
        }
    }

    private void take(MemberList list) {
        long now = timers.now();
        revision = list.revision();
        Set<Long> named = new HashSet<>();
        boolean changed = false;
        for (Member member : list.members()) {
            Entry old = entries.get(member.number());
            if (member.phase() == Phase.GONE) {
                changed |= entries.remove(member.number()) != null;
            } else {
                named.add(member.number());
                // One that has started anew has not answered yet.
                boolean same = old != null && old.member().upSinceMillis() == member.upSinceMillis();
                changed |= old == null || !old.member().equals(member);
                entries.put(member.number(), new Entry(member, now / MS, same ? old.answeredAt() : 0));
            }
        }
        if (list.complete()) {
            changed |= entries.keySet().retainAll(named);
        } else {
            // Who is not among the changes is still listed.
            entries.replaceAll((number, entry) -> new Entry(entry.member(), now / MS, entry.answeredAt()));
        }
        want(now + (changed ? 0 : pace.refresh()));
    }

    @Override
    public Listed listed(long now, Listed news) {
        return news;
    }

    @Override
    public Listed seen(long now, Event event) {
        if (event instanceof Started started) {
            mailbox.tell(() -> {
                Entry entry = entries.get(started.replica());
                if (entry != null) {
                    entries.put(started.replica(), new Entry(entry.member(), entry.listedAt(), now / MS));
                    want(now + pace.refresh());
                }
            });
        }
        return null;
    }

    @Override
    public long wakeAt() {
        return NEVER;
    }

    @Override
    public Listed woken(long now) {
        return null;
    }

    private void want(long at) {
        if (at >= wantedAt) {
            return;
        }
        wantedAt = at;
        if (timer != null) {
            timer.cancel();
        }
        long due = Math.max(at, writtenAt + pace.least());
        timer = timers.after(due - timers.now(), () -> mailbox.tellAlways(this::write));
    }

    private void write() {
        if (writing || entries.isEmpty()) {
            return;
        }
        writing = true;
        wantedAt = NEVER;
        writtenAt = timers.now();
        Snapshot snapshot = new Snapshot(writtenAt / MS, revision, List.copyOf(entries.values()));
        disk.tellOrFail(
                () -> {
                    String fault = null;
                    try {
                        store.write(snapshot);
                    } catch (IOException | RuntimeException e) {
                        fault = e.toString();
                    }
                    String why = fault;
                    mailbox.tellAlways(() -> written(why));
                },
                () -> mailbox.tellAlways(() -> written("the disk's thread could not take it")));
    }

    private void written(String fault) {
        writing = false;
        if (fault != null && !failed) {
            LOG.warning(
                    "the list is not remembered, trying again every " + pace.refresh() / MS / 1000 + " s: " + fault);
        } else if (fault == null && failed) {
            LOG.info("the list is remembered again");
        }
        failed = fault != null;
        long again = failed ? timers.now() + pace.refresh() : wantedAt;
        wantedAt = NEVER;
        if (again != NEVER) {
            want(again);
        }
    }
}
