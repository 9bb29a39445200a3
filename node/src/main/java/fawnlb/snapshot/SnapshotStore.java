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
    private final Path currentFile;
    private final Path previousFile;
    private final Path temporaryFile;

    public SnapshotStore(Path file) {
        this.currentFile = file.toAbsolutePath();
        this.previousFile = this.currentFile.resolveSibling(this.currentFile.getFileName() + ".1");
        this.temporaryFile = this.currentFile.resolveSibling(this.currentFile.getFileName() + ".tmp");
    }

    /**
     * What was found. {@code snapshot}: null if no generation can be used; {@code faults}: one line for each that
     * can't.
     */
    public record ReadResult(Snapshot snapshot, Path file, boolean isFromFuture, List<String> faults) {}

    /** Replaces the older generation. */
    public void write(Snapshot snapshot) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(SnapshotCodec.encode(snapshot));
        try (FileChannel channel = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        if (Files.exists(currentFile)) {
            Files.move(currentFile, previousFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }
        Files.move(temporaryFile, currentFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // Without this a machine that loses power may come back with the old names.
        try (FileChannel directory = FileChannel.open(currentFile.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /**
     * The newest generation that can be read. One that says it was written later than {@code nowMillis} and the
     * tolerance tells nothing of its age: it is taken only where there is no other.
     */
    public ReadResult read(long nowMillis, long toleranceMillis) {
        List<String> faults = new ArrayList<>();
        Snapshot futureSnapshot = null;
        Path futureFile = null;
        for (Path path : new Path[] {currentFile, previousFile}) {
            try {
                Snapshot snapshot = read(path);
                if (snapshot.savedAtMillis() <= nowMillis + toleranceMillis) {
                    return new ReadResult(snapshot, path, false, faults);
                }
                faults.add(path + ": written " + (snapshot.savedAtMillis() - nowMillis) / 1000
                        + " s from now by this clock");
                futureFile = futureSnapshot == null ? path : futureFile;
                futureSnapshot = futureSnapshot == null ? snapshot : futureSnapshot;
            } catch (NoSuchFileException e) {
                // A first start has none, and a second start has one.
            } catch (IOException e) {
                faults.add(path + ": "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(e.toString()));
            }
        }
        return new ReadResult(futureSnapshot, futureFile, futureSnapshot != null, faults);
    }

    /** One file, whichever generation it is. */
    public static Snapshot read(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            if (channel.size() > SnapshotCodec.MAX_BYTES) {
                throw new SnapshotCodec.SnapshotFormatException(
                        "too large to be a snapshot: " + channel.size() + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
            while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
                // Until it is all there, or the file has become shorter: the checksum finds that.
            }
            return SnapshotCodec.decode(bytes.array());
        }
    }
}
