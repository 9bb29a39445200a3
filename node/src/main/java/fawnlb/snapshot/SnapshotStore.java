package fawnlb.snapshot;

import fawnlb.snapshot.SnapshotFormatException.Reason;
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
 * {@code FILE.tmp} and synced before any file is renamed, so that one whole generation stands under one of the two
 * names whenever the process or the machine stops. There may be one writer at a time. All methods block on the disk.
 */
public class SnapshotStore {
    private static final long MILLIS_PER_SECOND = 1000;

    private final Path currentFile;
    private final Path previousFile;
    private final Path temporaryFile;

    /** Creates a store whose newest generation is this file; its directory must exist. */
    public SnapshotStore(Path file) {
        this.currentFile = file.toAbsolutePath();
        this.previousFile = this.currentFile.resolveSibling(this.currentFile.getFileName() + ".1");
        this.temporaryFile = this.currentFile.resolveSibling(this.currentFile.getFileName() + ".tmp");
    }

    /**
     * What was found on disk.
     *
     * @param snapshot the newest generation that can be used; null if there is none
     * @param file where it stands; null if there is none
     * @param isFromFuture whether it was saved later than now by this clock, so that its age is not known
     * @param faults a line for each generation that can't be used or is from the future
     */
    public record ReadResult(Snapshot snapshot, Path file, boolean isFromFuture, List<String> faults) {}

    /**
     * Writes a new generation in place of the older of the two.
     *
     * @throws IOException if the disk fails; a whole generation stands all the same, if there was one
     */
    public void write(Snapshot snapshot) throws IOException {
        writeTemporaryFile(ByteBuffer.wrap(SnapshotCodec.encode(snapshot)));
        if (Files.exists(currentFile)) {
            rename(currentFile, previousFile);
        }
        rename(temporaryFile, currentFile);
        syncDirectory();
    }

    private void writeTemporaryFile(ByteBuffer bytes) throws IOException {
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
    }

    private static void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Without this a machine that loses power may come back with the old names. */
    private void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(currentFile.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /**
     * Reads the newest generation that can be used. One that was saved in the future is used only where there is no
     * other. A file that can't be read is a fault of the result, and no exception.
     *
     * @param nowMillis the time in milliseconds since the Unix epoch
     * @param toleranceMillis how far ahead of now a snapshot may have been saved without counting as from the future
     */
    public ReadResult read(long nowMillis, long toleranceMillis) {
        List<String> faults = new ArrayList<>();
        ReadResult newestFromFuture = new ReadResult(null, null, false, faults);
        for (Path path : List.of(currentFile, previousFile)) {
            Snapshot snapshot = readOrAddFault(path, faults);
            if (snapshot == null) {
                continue;
            }
            if (snapshot.savedAtMillis() <= nowMillis + toleranceMillis) {
                return new ReadResult(snapshot, path, false, faults);
            }
            long aheadSeconds = (snapshot.savedAtMillis() - nowMillis) / MILLIS_PER_SECOND;
            faults.add(path + ": written " + aheadSeconds + " s from now by this clock");
            if (newestFromFuture.snapshot() == null) {
                newestFromFuture = new ReadResult(snapshot, path, true, faults);
            }
        }
        return newestFromFuture;
    }

    /** Returns null if there is no such file, which is no fault, or if it can't be used. */
    private static Snapshot readOrAddFault(Path path, List<String> faults) {
        try {
            return read(path);
        } catch (NoSuchFileException e) {
            // An instance that starts for the first time has no file, and one that starts for the second time has one.
            return null;
        } catch (IOException e) {
            faults.add(path + ": " + firstLine(e));
            return null;
        }
    }

    private static String firstLine(IOException failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse(failure.toString());
    }

    /**
     * Reads one file, whichever generation it is.
     *
     * @throws SnapshotFormatException if it is no snapshot of this version
     * @throws IOException if the file can't be read
     */
    public static Snapshot read(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            if (channel.size() > SnapshotCodec.MAX_BYTES) {
                throw new SnapshotFormatException(
                        Reason.TOO_LARGE, "too large to be a snapshot: " + channel.size() + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
            while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
                // Reads on until the buffer is full. If the file has become shorter, the checksum does not match.
            }
            return SnapshotCodec.decode(bytes.array());
        }
    }
}
