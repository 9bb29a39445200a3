package fawnlb.snapshot;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class SnapshotStoreTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static Snapshot snapshot(long savedAtMillis, String... ids) {
        return new Snapshot(
                savedAtMillis,
                41,
                Arrays.stream(ids)
                        .map(id -> new Entry(
                                new DiscoveredEndpoint(
                                        id,
                                        "127.0.0.1",
                                        9000,
                                        "regina-east",
                                        "full-rate",
                                        3,
                                        EndpointPhase.READY,
                                        1.5,
                                        savedAtMillis - 5),
                                savedAtMillis,
                                savedAtMillis - 7))
                        .toList());
    }

    private Path file() {
        return folder.getRoot().toPath().resolve("list");
    }

    @Test
    public void decodesWhatWasEncoded() throws IOException {
        Snapshot snapshot = snapshot(NOW_MILLIS, "s-0000000a", "s-0000000b");
        assertEquals(snapshot, SnapshotCodec.decode(SnapshotCodec.encode(snapshot)));
    }

    @Test
    public void everyFlippedBitAndEveryTruncationIsRejected() throws IOException {
        byte[] whole = SnapshotCodec.encode(snapshot(NOW_MILLIS, "s-0000000a"));
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] altered = whole.clone();
            altered[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(
                    "bit " + bit, SnapshotCodec.SnapshotFormatException.class, () -> SnapshotCodec.decode(altered));
        }
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(
                    "length " + length, SnapshotCodec.SnapshotFormatException.class, () -> SnapshotCodec.decode(cut));
        }
    }

    @Test
    public void newerFormatVersionIsNamedInTheError() throws IOException {
        ByteBuffer file = ByteBuffer.wrap(SnapshotCodec.encode(snapshot(NOW_MILLIS, "s-0000000a")));
        file.putShort(4, (short) (SnapshotCodec.FORMAT_VERSION + 1));
        CRC32C sum = new CRC32C();
        sum.update(file.array(), 0, file.capacity() - 4);
        file.putInt(file.capacity() - 4, (int) sum.getValue());
        assertTrue(assertThrows(IOException.class, () -> SnapshotCodec.decode(file.array()))
                .getMessage()
                .contains("form 2"));
    }

    /** Each row: what the newer and the older generation hold, and what is read: a, b or nothing; and the faults. */
    @Test
    public void newestReadableGenerationIsUsed() throws IOException {
        byte[] a = SnapshotCodec.encode(snapshot(NOW_MILLIS, "a"));
        byte[] b = SnapshotCodec.encode(snapshot(NOW_MILLIS - 1000, "b"));
        byte[] later = SnapshotCodec.encode(snapshot(NOW_MILLIS + 60_000, "later"));
        byte[] bad = {1, 2, 3};
        Object[][] cases = {
            {a, b, "a", 0},
            {bad, b, "b", 1},
            {a, bad, "a", 0},
            {bad, bad, null, 2},
            {null, b, "b", 0},
            {null, null, null, 0},
            {new byte[0], null, null, 1},
            {later, b, "b", 1},
            {later, null, "later", 1},
            {later, bad, "later", 2},
            {bad, later, "later", 2}
        };
        for (int i = 0; i < cases.length; i++) {
            Path file = folder.newFolder().toPath().resolve("list");
            if (cases[i][0] != null) {
                Files.write(file, (byte[]) cases[i][0]);
            }
            if (cases[i][1] != null) {
                Files.write(file.resolveSibling("list.1"), (byte[]) cases[i][1]);
            }
            SnapshotStore.ReadResult found = new SnapshotStore(file).read(NOW_MILLIS, 5000);
            String read = found.snapshot() == null
                    ? null
                    : found.snapshot().entries().get(0).endpoint().id();
            assertEquals("row " + i, cases[i][2], read);
            assertEquals(
                    "row " + i + found.faults(), cases[i][3], found.faults().size());
            assertEquals("row " + i, "later".equals(read), found.isFromFuture());
            assertTrue(found.faults().stream().allMatch(line -> line.lines().count() == 1));
        }
    }

    @Test
    public void twoGenerationsRemainAfterAnyNumberOfWrites() throws IOException {
        SnapshotStore store = new SnapshotStore(file());
        for (String id : List.of("a", "b", "c")) {
            store.write(snapshot(NOW_MILLIS, id));
        }
        assertEquals("c", SnapshotStore.read(file()).entries().get(0).endpoint().id());
        assertEquals(
                "b",
                SnapshotStore.read(file().resolveSibling("list.1"))
                        .entries()
                        .get(0)
                        .endpoint()
                        .id());
        assertFalse(Files.exists(file().resolveSibling("list.tmp")));
    }

    /** A folder in the file's place stands for a disk that can't be read or written. */
    @Test
    public void failedDiskIsReportedAsAFault() throws IOException {
        Files.createDirectory(file());
        Files.createDirectory(file().resolveSibling("list.tmp"));
        SnapshotStore store = new SnapshotStore(file());
        assertThrows(IOException.class, () -> store.write(snapshot(NOW_MILLIS, "a")));
        SnapshotStore.ReadResult found = store.read(NOW_MILLIS, 0);
        assertNull(found.snapshot());
        assertEquals(1, found.faults().size());
    }
}
