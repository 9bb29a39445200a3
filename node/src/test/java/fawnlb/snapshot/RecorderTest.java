package fawnlb.snapshot;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Phase;
import fawnlb.decision.Balancer.Started;
import fawnlb.discovery.Member;
import fawnlb.discovery.MemberList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The recorder on a clock of the test's own; the disk's work waits until the test lets it run. */
public class RecorderTest {
    private static final long S = 1_000_000_000L;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private record Due(long at, Runnable task) {}

    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final Deque<Runnable> disk = new ArrayDeque<>();
    private final Timers timers = new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long nanos, Runnable task) {
            Due entry = new Due(now + Math.max(0, nanos), task);
            due.add(entry);
            return () -> due.remove(entry);
        }
    };
    private long now = 1000 * S;
    private Path file;
    private Recorder recorder;

    @Before
    public void begin() {
        file = folder.getRoot().toPath().resolve("list");
        recorder = new Recorder(
                new Mailbox(Runnable::run, 100),
                new Mailbox(disk::add, 1),
                timers,
                new SnapshotStore(file),
                new Recorder.Pace(S, 30 * S));
    }

    /** What the platform throws where a folder can't be used any more need not be an I/O error. */
    @Test
    public void goesOnAfterAWriteThatThrewWhatNobodyExpects() {
        SnapshotStore faulty = new SnapshotStore(file) {
            private int calls;

            @Override
            public void write(Snapshot snapshot) throws IOException {
                if (calls++ == 0) {
                    throw new UncheckedIOException(new IOException("No space left on device"));
                }
                super.write(snapshot);
            }
        };
        recorder = new Recorder(
                new Mailbox(Runnable::run, 100),
                new Mailbox(disk::add, 1),
                timers,
                faulty,
                new Recorder.Pace(S, 30 * S));
        recorder.heard(
                ListKind.FULL,
                new MemberList(
                        1, true, List.of(new Member("s-00000001", "127.0.0.1", 1, "a", "c", 0, Phase.READY, 1, 0))));
        pass(2 * S);
        writes();
        assertFalse(Files.exists(file));
        pass(31 * S);
        writes();
        assertTrue(folder.getRoot().list().length > 0);
    }

    private void pass(long nanos) {
        long end = now + nanos;
        while (!due.isEmpty() && due.peek().at() <= end) {
            now = due.peek().at();
            due.poll().task().run();
        }
        now = end;
    }

    private int writes() {
        int count = 0;
        for (; !disk.isEmpty(); count++) {
            disk.poll().run();
        }
        return count;
    }

    private static MemberList list(boolean complete, Member... members) {
        return new MemberList(7, complete, List.of(members));
    }

    private static Member member(String id, Phase phase, long since) {
        return new Member(id, "127.0.0.1", 9000, "a", "k", 0, phase, 1, since);
    }

    private List<String> kept() throws IOException {
        return SnapshotStore.read(file).entries().stream()
                .map(e -> e.member().id())
                .sorted()
                .toList();
    }

    @Test
    public void changesAreWrittenAtABoundedRateAndAnswersSeldom() throws IOException {
        recorder.heard(ListKind.FULL, list(true, member("a", Phase.READY, 0)));
        pass(0);
        assertEquals(1, writes());
        for (int i = 0; i < 100; i++) {
            recorder.heard(ListKind.DELTA, list(false, member("b" + i, Phase.READY, 0)));
            pass(S / 100);
        }
        assertEquals(1, writes());
        pass(S);
        writes();
        assertEquals(101, kept().size());
        recorder.seen(now, new Started(1, 0, member("a", Phase.READY, 0).number(), 1));
        pass(29 * S);
        assertEquals(0, writes());
        pass(2 * S);
        assertEquals(1, writes());
        assertTrue(SnapshotStore.read(file).entries().stream().anyMatch(e -> e.answeredAt() > 0));
    }

    @Test
    public void aSlowDiskGetsNoSecondSnapshotBeforeItIsDone() throws IOException {
        recorder.heard(ListKind.FULL, list(true, member("a", Phase.READY, 0)));
        pass(0);
        for (String id : List.of("b", "c", "d")) {
            recorder.heard(ListKind.FULL, list(true, member(id, Phase.READY, 0)));
            pass(2 * S);
        }
        assertEquals(1, disk.size());
        assertEquals(1, writes());
        pass(S);
        assertEquals(1, writes());
        assertEquals(List.of("d"), kept());
    }

    @Test
    public void whoIsGoneOrLeftOutIsForgottenButNotAllAtOnce() throws IOException {
        recorder.heard(
                ListKind.FULL,
                list(true, member("a", Phase.READY, 0), member("b", Phase.READY, 0), member("c", Phase.READY, 0)));
        recorder.heard(ListKind.DELTA, list(false, member("a", Phase.GONE, 0)));
        recorder.heard(ListKind.FULL, list(true, member("b", Phase.DRAINING, 0)));
        recorder.heard(ListKind.FULL, list(true));
        recorder.heard(ListKind.FAILED, null);
        pass(S);
        writes();
        assertEquals(List.of("b"), kept());
        assertEquals(
                Phase.DRAINING,
                SnapshotStore.read(file).entries().get(0).member().phase());
    }

    @Test
    public void oneThatStartedAnewHasNotAnsweredYet() throws IOException {
        Member old = member("a", Phase.READY, 5);
        recorder.heard(ListKind.FULL, list(true, old));
        recorder.seen(now, new Started(1, 0, old.number(), 1));
        recorder.heard(ListKind.DELTA, list(false, member("a", Phase.READY, 6)));
        pass(S);
        writes();
        assertEquals(0, SnapshotStore.read(file).entries().get(0).answeredAt());
    }

    @Test
    public void aDiskThatFailsIsTriedAgainLater() throws IOException {
        Files.createDirectory(file.resolveSibling("list.tmp"));
        recorder.heard(ListKind.FULL, list(true, member("a", Phase.READY, 0)));
        pass(0);
        assertEquals(1, writes());
        assertFalse(Files.exists(file));
        Files.delete(file.resolveSibling("list.tmp"));
        pass(29 * S);
        assertEquals(0, writes());
        pass(2 * S);
        assertEquals(1, writes());
        assertEquals(List.of("a"), kept());
        assertEquals(Arrays.asList("list"), Arrays.asList(folder.getRoot().list()));
    }
}
