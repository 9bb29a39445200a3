package fawnlb.snapshot;

import static fawnlb.snapshot.TestSnapshots.NOW_MILLIS;
import static fawnlb.snapshot.TestSnapshots.snapshot;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class SnapshotStoreTest {
    private static final long TOLERANCE_MILLIS = 5000;
    private static final String FUTURE = "future";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    /**
     * What stands on disk and what is read.
     *
     * @param current the bytes of the newer generation; null if there is no file
     * @param previous the bytes of the older one; null if there is no file
     * @param usedId the endpoint of the generation that is used; null if none is
     */
    private record Case(String name, byte[] current, byte[] previous, String usedId, int faults) {}

    private Path file() {
        return folder.getRoot().toPath().resolve("list");
    }

    private static Path sibling(Path file, String suffix) {
        return file.resolveSibling(file.getFileName() + suffix);
    }

    private static String firstId(Snapshot snapshot) {
        return snapshot == null
                ? null
                : snapshot.entries().get(0).endpoint().id().name();
    }

    private static List<Case> cases() throws IOException {
        byte[] a = SnapshotCodec.encode(snapshot(NOW_MILLIS, "a"));
        byte[] b = SnapshotCodec.encode(snapshot(NOW_MILLIS - 1000, "b"));
        byte[] future = SnapshotCodec.encode(snapshot(NOW_MILLIS + 60_000, FUTURE));
        byte[] bad = {1, 2, 3};
        byte[] empty = {};
        return List.of(
                new Case("both usable", a, b, "a", 0),
                new Case("newer bad", bad, b, "b", 1),
                new Case("older bad", a, bad, "a", 0),
                new Case("both bad", bad, bad, null, 2),
                new Case("newer missing", null, b, "b", 0),
                new Case("both missing", null, null, null, 0),
                new Case("newer empty", empty, null, null, 1),
                new Case("newer from the future", future, b, "b", 1),
                new Case("newer from the future, older missing", future, null, FUTURE, 1),
                new Case("newer from the future, older bad", future, bad, FUTURE, 2),
                new Case("newer bad, older from the future", bad, future, FUTURE, 2));
    }

    @Test
    public void newestUsableGenerationIsRead() throws IOException {
        for (Case each : cases()) {
            Path file = folder.newFolder().toPath().resolve("list");
            writeIfPresent(file, each.current());
            writeIfPresent(sibling(file, ".1"), each.previous());

            SnapshotStore.ReadResult result = new SnapshotStore(file).read(NOW_MILLIS, TOLERANCE_MILLIS);

            assertEquals(each.name(), each.usedId(), firstId(result.snapshot()));
            assertEquals(
                    each.name() + result.faults(),
                    each.faults(),
                    result.faults().size());
            assertEquals(each.name(), FUTURE.equals(each.usedId()), result.isFromFuture());
            assertTrue(
                    each.name(),
                    result.faults().stream().allMatch(fault -> fault.lines().count() == 1));
        }
    }

    private static void writeIfPresent(Path file, byte[] bytes) throws IOException {
        if (bytes != null) {
            Files.write(file, bytes);
        }
    }

    @Test
    public void twoGenerationsRemainAfterAnyNumberOfWrites() throws IOException {
        SnapshotStore store = new SnapshotStore(file());
        for (String id : List.of("a", "b", "c")) {
            store.write(snapshot(NOW_MILLIS, id));
        }
        assertEquals("c", firstId(SnapshotStore.read(file())));
        assertEquals("b", firstId(SnapshotStore.read(sibling(file(), ".1"))));
        assertFalse(Files.exists(sibling(file(), ".tmp")));
    }

    /** A directory in the file's place stands for a disk that can't be read or written. */
    @Test
    public void failedDiskIsReportedAsAFault() throws IOException {
        Files.createDirectory(file());
        Files.createDirectory(sibling(file(), ".tmp"));
        SnapshotStore store = new SnapshotStore(file());

        assertThrows(IOException.class, () -> store.write(snapshot(NOW_MILLIS, "a")));
        SnapshotStore.ReadResult result = store.read(NOW_MILLIS, 0);

        assertNull(result.snapshot());
        assertEquals(1, result.faults().size());
    }
}
