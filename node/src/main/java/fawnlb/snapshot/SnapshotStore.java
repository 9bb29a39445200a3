package fawnlb.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Two generations of a snapshot on disk, {@code FILE} and {@code FILE.1}. A new one is written beside them to
 * {@code FILE.tmp} and synced before any name changes, so whatever moment the process or the machine ends at, one whole
 * generation stands under one of the two names. One writer at a time; calls block on the disk.
 */
public class SnapshotStore {
    private final Path file;
    private final Path former;
    private final Path temporary;

    public SnapshotStore(Path file) {
        this.file = file.toAbsolutePath();
        this.former = this.file.resolveSibling(this.file.getFileName() + ".1");
        this.temporary = this.file.resolveSibling(this.file.getFileName() + ".tmp");
    }

    /**
     * What was found. {@code snapshot}: null if no generation can be used; {@code faults}: one line for each that
     * can't.
     */
    public record Found(Snapshot snapshot, Path from, boolean future, List<String> faults) {}

    /** Replaces the older generation. */
    public void write(Snapshot snapshot) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(SnapshotCodec.encode(snapshot));
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        if (Files.exists(file)) {
            Files.move(file, former, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // Without this a machine that loses power may come back with the old names.
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    /**
     * The newest generation that can be read. One that says it was written later than {@code nowMillis} and the
     * tolerance tells nothing of its age: it is taken only where there is no other.
     */
    public Found read(long nowMillis, long toleranceMillis) {
        List<String> faults = new ArrayList<>();
        Snapshot later = null;
        Path from = null;
        for (Path path : new Path[] {file, former}) {
            try {
                Snapshot snapshot = read(path);
                if (snapshot.savedAt() <= nowMillis + toleranceMillis) {
                    return new Found(snapshot, path, false, faults);
                }
                faults.add(path + ": written " + (snapshot.savedAt() - nowMillis) / 1000 + " s from now by this clock");
                from = later == null ? path : from;
                later = later == null ? snapshot : later;
            } catch (NoSuchFileException e) {
                // A first start has none, and a second start has one.
            } catch (IOException e) {
                faults.add(path + ": "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(e.toString()));
            }
        }
        return new Found(later, from, later != null, faults);
    }

    /** One file, whichever generation it is. */
    public static Snapshot read(Path path) throws IOException {
        try (FileChannel in = FileChannel.open(path, StandardOpenOption.READ)) {
            if (in.size() > SnapshotCodec.MAX_BYTES) {
                throw new SnapshotCodec.Damaged("too large to be a snapshot: " + in.size() + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) in.size());
            while (bytes.hasRemaining() && in.read(bytes) >= 0) {
                // Until it is all there, or the file has become shorter: the checksum finds that.
            }
            return SnapshotCodec.decode(bytes.array());
        }
    }
}
