package fawnlb.snapshot;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
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
public class SnapshotRecorderTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private record ScheduledTask(long dueAt, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduled =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueAt(), b.dueAt()));
    private final Deque<Runnable> diskTasks = new ArrayDeque<>();
    private final Timers timers = new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer schedule(long nanos, Runnable task) {
            ScheduledTask entry = new ScheduledTask(now + Math.max(0, nanos), task);
            scheduled.add(entry);
            return () -> scheduled.remove(entry);
        }
    };
    private long now = 1000 * NANOS_PER_SECOND;
    private Path file;
    private SnapshotRecorder recorder;

    @Before
    public void createRecorder() {
        file = folder.getRoot().toPath().resolve("list");
        recorder = new SnapshotRecorder(
                new Mailbox(Runnable::run, 100),
                new Mailbox(diskTasks::add, 1),
                timers,
                new SnapshotStore(file),
                new SnapshotRecorder.WriteIntervals(NANOS_PER_SECOND, 30 * NANOS_PER_SECOND));
    }

    /** What the platform throws where a folder can't be used any more need not be an I/O error. */
    @Test
    public void retriesAfterAnUnexpectedWriteException() {
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
        recorder = new SnapshotRecorder(
                new Mailbox(Runnable::run, 100),
                new Mailbox(diskTasks::add, 1),
                timers,
                faulty,
                new SnapshotRecorder.WriteIntervals(NANOS_PER_SECOND, 30 * NANOS_PER_SECOND));
        recorder.onDiscoveryUpdate(
                EndpointUpdateKind.FULL,
                new EndpointList(
                        1,
                        true,
                        List.of(new DiscoveredEndpoint(
                                "s-00000001", "127.0.0.1", 1, "a", "c", 0, EndpointPhase.READY, 1, 0))));
        advanceTime(2 * NANOS_PER_SECOND);
        runDiskTasks();
        assertFalse(Files.exists(file));
        advanceTime(31 * NANOS_PER_SECOND);
        runDiskTasks();
        assertTrue(folder.getRoot().list().length > 0);
    }

    private void advanceTime(long nanos) {
        long end = now + nanos;
        while (!scheduled.isEmpty() && scheduled.peek().dueAt() <= end) {
            now = scheduled.peek().dueAt();
            scheduled.poll().task().run();
        }
        now = end;
    }

    private int runDiskTasks() {
        int count = 0;
        for (; !diskTasks.isEmpty(); count++) {
            diskTasks.poll().run();
        }
        return count;
    }

    private static EndpointList list(boolean complete, DiscoveredEndpoint... endpoints) {
        return new EndpointList(7, complete, List.of(endpoints));
    }

    private static DiscoveredEndpoint endpoint(String id, EndpointPhase phase, long upSinceMillis) {
        return new DiscoveredEndpoint(id, "127.0.0.1", 9000, "a", "k", 0, phase, 1, upSinceMillis);
    }

    private List<String> savedIds() throws IOException {
        return SnapshotStore.read(file).entries().stream()
                .map(e -> e.endpoint().id())
                .sorted()
                .toList();
    }

    @Test
    public void changesAreWrittenAtTheMinimumIntervalAndResponsesAtTheRefreshInterval() throws IOException {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, endpoint("a", EndpointPhase.READY, 0)));
        advanceTime(0);
        assertEquals(1, runDiskTasks());
        for (int i = 0; i < 100; i++) {
            recorder.onDiscoveryUpdate(
                    EndpointUpdateKind.DELTA, list(false, endpoint("b" + i, EndpointPhase.READY, 0)));
            advanceTime(NANOS_PER_SECOND / 100);
        }
        assertEquals(1, runDiskTasks());
        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(101, savedIds().size());
        recorder.onEvent(
                now,
                new ResponseStarted(1, 0, endpoint("a", EndpointPhase.READY, 0).numericId(), 1));
        advanceTime(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        advanceTime(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertTrue(SnapshotStore.read(file).entries().stream().anyMatch(e -> e.lastResponseAtMillis() > 0));
    }

    @Test
    public void slowDiskHasAtMostOneWriteInProgress() throws IOException {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, endpoint("a", EndpointPhase.READY, 0)));
        advanceTime(0);
        for (String id : List.of("b", "c", "d")) {
            recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, endpoint(id, EndpointPhase.READY, 0)));
            advanceTime(2 * NANOS_PER_SECOND);
        }
        assertEquals(1, diskTasks.size());
        assertEquals(1, runDiskTasks());
        advanceTime(NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertEquals(List.of("d"), savedIds());
    }

    @Test
    public void goneAndUnlistedEndpointsAreDroppedButAnEmptyListIsIgnored() throws IOException {
        recorder.onDiscoveryUpdate(
                EndpointUpdateKind.FULL,
                list(
                        true,
                        endpoint("a", EndpointPhase.READY, 0),
                        endpoint("b", EndpointPhase.READY, 0),
                        endpoint("c", EndpointPhase.READY, 0)));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.DELTA, list(false, endpoint("a", EndpointPhase.GONE, 0)));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, endpoint("b", EndpointPhase.DRAINING, 0)));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FAILED, null);
        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(List.of("b"), savedIds());
        assertEquals(
                EndpointPhase.DRAINING,
                SnapshotStore.read(file).entries().get(0).endpoint().phase());
    }

    @Test
    public void restartedEndpointLosesItsLastResponseTime() throws IOException {
        DiscoveredEndpoint old = endpoint("a", EndpointPhase.READY, 5);
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, old));
        recorder.onEvent(now, new ResponseStarted(1, 0, old.numericId(), 1));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.DELTA, list(false, endpoint("a", EndpointPhase.READY, 6)));
        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(0, SnapshotStore.read(file).entries().get(0).lastResponseAtMillis());
    }

    @Test
    public void failedWriteIsRetriedAfterTheRefreshInterval() throws IOException {
        Files.createDirectory(file.resolveSibling("list.tmp"));
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, list(true, endpoint("a", EndpointPhase.READY, 0)));
        advanceTime(0);
        assertEquals(1, runDiskTasks());
        assertFalse(Files.exists(file));
        Files.delete(file.resolveSibling("list.tmp"));
        advanceTime(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        advanceTime(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertEquals(List.of("a"), savedIds());
        assertEquals(Arrays.asList("list"), Arrays.asList(folder.getRoot().list()));
    }
}
