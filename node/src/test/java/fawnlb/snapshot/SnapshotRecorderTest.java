package fawnlb.snapshot;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointList;
import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ManualTimers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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

    private final Deque<Runnable> diskTasks = new ArrayDeque<>();
    private final ManualTimers timers = new ManualTimers(1000 * NANOS_PER_SECOND);
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
        return new DiscoveredEndpoint(EndpointId.of(id), "127.0.0.1", 9000, "a", "k", 0, phase, 1, upSinceMillis);
    }

    private void receiveFullList(DiscoveredEndpoint... endpoints) {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.FULL, new EndpointList(7, true, List.of(endpoints)));
    }

    private void receiveChanges(DiscoveredEndpoint... endpoints) {
        recorder.onDiscoveryUpdate(EndpointUpdateKind.DELTA, new EndpointList(7, false, List.of(endpoints)));
    }

    private void respond(DiscoveredEndpoint endpoint) {
        recorder.onEvent(timers.now(), new ResponseStarted(1, 0, endpoint.id(), 1));
    }

    private List<Snapshot.Entry> savedEntries() throws IOException {
        return SnapshotStore.read(file).entries();
    }

    private List<String> savedIds() throws IOException {
        return savedEntries().stream()
                .map(entry -> entry.endpoint().id().name())
                .sorted()
                .toList();
    }

    @Test
    public void changesAreWrittenAtTheMinimumInterval() throws IOException {
        receiveFullList(endpoint("a"));
        timers.advance(0);
        assertEquals(1, runDiskTasks());

        for (int i = 0; i < 100; i++) {
            receiveChanges(endpoint("b" + i));
            timers.advance(NANOS_PER_SECOND / 100);
        }

        assertEquals(1, runDiskTasks());
        timers.advance(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(101, savedIds().size());
    }

    /** Guards against a start that lacks endpoints: of those whose ids end alike, one was written. */
    @Test
    public void endpointsWhoseIdsEndAlikeAreAllWritten() throws IOException {
        receiveFullList(endpoint("s-0000000a"), endpoint("t-0000000a"), endpoint("u-0000000a"));
        receiveChanges(endpoint("t-0000000a", EndpointPhase.GONE, 0));
        timers.advance(0);
        runDiskTasks();

        assertEquals(List.of("s-0000000a", "u-0000000a"), savedIds());
    }

    @Test
    public void responsesAreWrittenAtTheRefreshInterval() throws IOException {
        receiveFullList(endpoint("a"));
        timers.advance(0);
        runDiskTasks();

        respond(endpoint("a"));

        timers.advance(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        timers.advance(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertTrue(savedEntries().stream().anyMatch(entry -> entry.lastResponseAtMillis() > 0));
    }

    @Test
    public void slowDiskHasAtMostOneWriteInProgress() throws IOException {
        receiveFullList(endpoint("a"));
        timers.advance(0);
        for (String id : List.of("b", "c", "d")) {
            receiveFullList(endpoint(id));
            timers.advance(2 * NANOS_PER_SECOND);
        }
        assertEquals(1, diskTasks.size());
        assertEquals(1, runDiskTasks());

        timers.advance(NANOS_PER_SECOND);

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

        timers.advance(NANOS_PER_SECOND);
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

        timers.advance(NANOS_PER_SECOND);
        runDiskTasks();
        assertEquals(0, savedEntries().get(0).lastResponseAtMillis());
    }

    @Test
    public void failedWriteIsRetriedAfterTheRefreshInterval() throws IOException {
        Path temporaryFile = file.resolveSibling("list.tmp");
        Files.createDirectory(temporaryFile);
        receiveFullList(endpoint("a"));
        timers.advance(0);
        assertEquals(1, runDiskTasks());
        assertFalse(Files.exists(file));

        Files.delete(temporaryFile);

        timers.advance(29 * NANOS_PER_SECOND);
        assertEquals(0, runDiskTasks());
        timers.advance(2 * NANOS_PER_SECOND);
        assertEquals(1, runDiskTasks());
        assertEquals(List.of("a"), savedIds());
        assertArrayEquals(new String[] {"list"}, folder.getRoot().list());
    }

    /** The exceptions of a directory that can't be used any more need not be I/O errors. */
    @Test
    public void retriesAfterAnUnexpectedWriteException() {
        recorder = recorder(new FailingOnceStore(file));
        receiveFullList(endpoint("s-00000001"));
        timers.advance(2 * NANOS_PER_SECOND);
        runDiskTasks();
        assertFalse(Files.exists(file));

        timers.advance(31 * NANOS_PER_SECOND);
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
