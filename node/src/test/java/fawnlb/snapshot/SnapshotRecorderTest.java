package fawnlb.snapshot;

import static org.junit.Assert.assertArrayEquals;
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
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The recorder on a clock that the test moves; the disk's work waits until the test lets it run. */
public class SnapshotRecorderTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final WriteIntervals INTERVALS = new WriteIntervals(NANOS_PER_SECOND, 30 * NANOS_PER_SECOND);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private record ScheduledTask(long dueAt, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::dueAt));
    private final Deque<Runnable> diskTasks = new ArrayDeque<>();
    private final Timers timers = new Timers() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer schedule(long delayNanos, Runnable task) {
            ScheduledTask entry = new ScheduledTask(now + Math.max(0, delayNanos), task);
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
        recorder = recorder(new SnapshotStore(file));
    }

    private SnapshotRecorder recorder(SnapshotStore store) {
        return new SnapshotRecorder(
                new Mailbox(Runnable::run, 100), new Mailbox(diskTasks::add, 1), timers, store, INTERVALS);
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

    private static DiscoveredEndpoint endpoint(String id) {
        return endpoint(id, EndpointPhase.READY, 0);
    }

    private static DiscoveredEndpoint endpoint(String id, EndpointPhase phase, long upSinceMillis) {
        return new DiscoveredEndpoint(id, "127.0.0.1", 9000, "a", "k", 0, phase, 1, upSinceMillis);
    }

    private void receiveFullList(DiscoveredEndpoint... endpoints) {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, new EndpointList(7, true, List.of(endpoints)));
    }

    private void receiveChanges(DiscoveredEndpoint... endpoints) {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.DELTA, new EndpointList(7, false, List.of(endpoints)));
    }

    private void respond(DiscoveredEndpoint endpoint) {
        recorder.onEvent(now, new ResponseStarted(1, 0, endpoint.numericId(), 1));
    }

    private List<Snapshot.Entry> savedEntries() throws IOException {
        return SnapshotStore.read(file).entries();
    }

    private List<String> savedIds() throws IOException {
        return savedEntries().stream()
                .map(entry -> entry.endpoint().id())
                .sorted()
                .toList();
    }

    @Test
    public void changesAreWrittenAtTheMinimumInterval() throws IOException {
        receiveFullList(endpoint("a"));
        advanceTime(0);
        assertEquals(1, runDiskTasks());

        for (int i = 0; i < 100; i++) {
            receiveChanges(endpoint("b" + i));
            advanceTime(NANOS_PER_SECOND / 100);
        }

        assertEquals(1, runDiskTasks());
        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(101, savedIds().size());
    }

    @Test
    public void responsesAreWrittenAtTheRefreshInterval() throws IOException {
        receiveFullList(endpoint("a"));
        advanceTime(0);
        runDiskTasks();

        respond(endpoint("a"));

        advanceTime(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        advanceTime(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertTrue(savedEntries().stream().anyMatch(entry -> entry.lastResponseAtMillis() > 0));
    }

    @Test
    public void slowDiskHasAtMostOneWriteInProgress() throws IOException {
        receiveFullList(endpoint("a"));
        advanceTime(0);
        for (String id : List.of("b", "c", "d")) {
            receiveFullList(endpoint(id));
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
        receiveFullList(endpoint("a"), endpoint("b"), endpoint("c"));
        receiveChanges(endpoint("a", EndpointPhase.GONE, 0));
        receiveFullList(endpoint("b", EndpointPhase.DRAINING, 0));
        receiveFullList();
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FAILED, null);

        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();

        assertEquals(List.of("b"), savedIds());
        assertEquals(EndpointPhase.DRAINING, savedEntries().get(0).endpoint().phase());
    }

    @Test
    public void restartedEndpointLosesItsLastResponseTime() throws IOException {
        DiscoveredEndpoint beforeRestart = endpoint("a", EndpointPhase.READY, 5);
        receiveFullList(beforeRestart);
        respond(beforeRestart);

        receiveChanges(endpoint("a", EndpointPhase.READY, 6));

        advanceTime(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(0, savedEntries().get(0).lastResponseAtMillis());
    }

    @Test
    public void failedWriteIsRetriedAfterTheRefreshInterval() throws IOException {
        Path temporaryFile = file.resolveSibling("list.tmp");
        Files.createDirectory(temporaryFile);
        receiveFullList(endpoint("a"));
        advanceTime(0);
        assertEquals(1, runDiskTasks());
        assertFalse(Files.exists(file));

        Files.delete(temporaryFile);

        advanceTime(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        advanceTime(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertEquals(List.of("a"), savedIds());
        assertArrayEquals(new String[] {"list"}, folder.getRoot().list());
    }

    /** The exceptions of a directory that can't be used any more need not be I/O errors. */
    @Test
    public void retriesAfterAnUnexpectedWriteException() {
        recorder = recorder(new FailingOnceStore(file));
        receiveFullList(endpoint("s-00000001"));
        advanceTime(2 * NANOS_PER_SECOND);
        runDiskTasks();
        assertFalse(Files.exists(file));

        advanceTime(31 * NANOS_PER_SECOND);
        runDiskTasks();

        assertTrue(Files.exists(file));
    }

    private static final class FailingOnceStore extends SnapshotStore {
        private boolean hasFailed;

        FailingOnceStore(Path file) {
            super(file);
        }

        @Override
        public void write(Snapshot snapshot) throws IOException {
            if (!hasFailed) {
                hasFailed = true;
                throw new UncheckedIOException(new IOException("No space left on device"));
            }
            super.write(snapshot);
        }
    }
}
