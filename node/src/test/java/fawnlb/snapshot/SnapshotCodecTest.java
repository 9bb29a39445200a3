package fawnlb.snapshot;

import static fawnlb.snapshot.TestSnapshots.NOW_MILLIS;
import static fawnlb.snapshot.TestSnapshots.snapshot;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.snapshot.SnapshotFormatException.Reason;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.zip.CRC32C;
import org.junit.Test;

public class SnapshotCodecTest {
    private static final int VERSION_OFFSET = 4;
    private static final int CHECKSUM_BYTES = 4;
    /** What the first bytes, the length and the checksum tell, before the version or the body is looked at. */
    private static final Set<Reason> FOUND_WITHOUT_PARSING =
            EnumSet.of(Reason.TRUNCATED, Reason.NOT_A_SNAPSHOT, Reason.CORRUPTED);

    private static SnapshotFormatException assertRejected(String message, byte[] file) {
        return assertThrows(message, SnapshotFormatException.class, () -> SnapshotCodec.decode(file));
    }

    @Test
    public void decodesWhatWasEncoded() throws IOException {
        Snapshot snapshot = snapshot(NOW_MILLIS, "s-0000000a", "s-0000000b");

        assertEquals(snapshot, SnapshotCodec.decode(SnapshotCodec.encode(snapshot)));
    }

    @Test
    public void everyFlippedBitIsRejected() throws IOException {
        byte[] file = SnapshotCodec.encode(snapshot(NOW_MILLIS, "s-0000000a"));
        for (int bit = 0; bit < file.length * Byte.SIZE; bit++) {
            byte[] corrupted = file.clone();
            corrupted[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            Reason reason = assertRejected("bit " + bit, corrupted).reason();
            assertTrue("bit " + bit + ": " + reason, FOUND_WITHOUT_PARSING.contains(reason));
        }
    }

    @Test
    public void everyTruncationIsRejected() throws IOException {
        byte[] file = SnapshotCodec.encode(snapshot(NOW_MILLIS, "s-0000000a"));
        for (int length = 0; length < file.length; length++) {
            SnapshotFormatException rejection = assertRejected("length " + length, Arrays.copyOf(file, length));
            assertEquals("length " + length, Reason.TRUNCATED, rejection.reason());
        }
    }

    @Test
    public void newerFormatVersionIsNamedInTheError() throws IOException {
        ByteBuffer file = ByteBuffer.wrap(SnapshotCodec.encode(snapshot(NOW_MILLIS, "s-0000000a")));
        file.putShort(VERSION_OFFSET, (short) (SnapshotCodec.FORMAT_VERSION + 1));
        putChecksum(file);

        SnapshotFormatException rejection = assertRejected("version", file.array());

        assertEquals(Reason.UNSUPPORTED_VERSION, rejection.reason());
        assertTrue(rejection.getMessage(), rejection.getMessage().contains("form 2"));
    }

    private static void putChecksum(ByteBuffer file) {
        int length = file.capacity() - CHECKSUM_BYTES;
        CRC32C crc = new CRC32C();
        crc.update(file.array(), 0, length);
        file.putInt(length, (int) crc.getValue());
    }
}
