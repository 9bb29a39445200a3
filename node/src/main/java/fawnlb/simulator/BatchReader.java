package fawnlb.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Reads batches of records from the simulator, and the fields of the records. All numbers are little-endian. It is used
 * by one thread, and blocks it until a batch has come.
 */
final class BatchReader {
    private static final int HEADER_BYTES = 16;
    private static final int MAX_BATCH_BYTES = 1 << 30;
    private static final int UNSIGNED_BYTE_MASK = 0xff;
    private static final int UNSIGNED_SHORT_MASK = 0xffff;
    private static final long UNSIGNED_INT_MASK = 0xffffffffL;

    private final InputStream in;
    private long batchPosition;
    private long nextBatchPosition;
    private ByteBuffer body = ByteBuffer.allocate(0);
    private int recordCount;
    private long clockNanos;

    BatchReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next batch.
     *
     * @return false if the input has ended
     * @throws MalformedBatchException if the input ends inside the batch, or its header is impossible
     */
    boolean readBatch() throws IOException {
        batchPosition = nextBatchPosition;
        byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length == 0) {
            return false;
        }
        if (header.length < HEADER_BYTES) {
            throw malformed("input ends inside a batch header", batchPosition + header.length);
        }
        int bodyBytes = readHeader(ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN));
        byte[] bytes = in.readNBytes(bodyBytes);
        if (bytes.length < bodyBytes) {
            throw malformed("input ends inside a batch", batchPosition + HEADER_BYTES + bytes.length);
        }
        body = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        nextBatchPosition = batchPosition + HEADER_BYTES + bodyBytes;
        return true;
    }

    /** Reads the header and returns the length of the batch's body in bytes. */
    private int readHeader(ByteBuffer header) throws MalformedBatchException {
        recordCount = header.getInt();
        int bodyBytes = header.getInt();
        clockNanos = header.getLong();
        if (bodyBytes < 0 || bodyBytes > MAX_BATCH_BYTES || recordCount < 0 || recordCount > bodyBytes) {
            throw malformed(
                    "impossible batch: " + Integer.toUnsignedString(recordCount) + " records in "
                            + Integer.toUnsignedString(bodyBytes) + " bytes",
                    batchPosition);
        }
        return bodyBytes;
    }

    /** The number of records in the batch. */
    int recordCount() {
        return recordCount;
    }

    /** The simulated time at which the events of the batch happen. */
    long clockNanos() {
        return clockNanos;
    }

    /** Whether all bytes of the batch have been read. */
    boolean atEnd() {
        return !body.hasRemaining();
    }

    /** The position of the next field in the stream. */
    long position() {
        return batchPosition + HEADER_BYTES + body.position();
    }

    /** An exception for a problem at a position of the stream. */
    MalformedBatchException malformed(String problem, long position) {
        return new MalformedBatchException(problem, position);
    }

    private void requireBytes(long bytes) throws MalformedBatchException {
        if (bytes < 0 || body.remaining() < bytes) {
            throw malformed("record runs past the end of its batch", position());
        }
    }

    int readUnsignedByte() throws MalformedBatchException {
        requireBytes(Byte.BYTES);
        return body.get() & UNSIGNED_BYTE_MASK;
    }

    int readUnsignedShort() throws MalformedBatchException {
        requireBytes(Short.BYTES);
        return body.getShort() & UNSIGNED_SHORT_MASK;
    }

    long readUnsignedInt() throws MalformedBatchException {
        requireBytes(Integer.BYTES);
        return body.getInt() & UNSIGNED_INT_MASK;
    }

    long readLong() throws MalformedBatchException {
        requireBytes(Long.BYTES);
        return body.getLong();
    }

    double readFloat() throws MalformedBatchException {
        requireBytes(Float.BYTES);
        return body.getFloat();
    }

    /** Reads a count of entries that follow, and checks that the batch has room for entries of this size. */
    int readCount(int entryBytes) throws MalformedBatchException {
        long count = readUnsignedInt();
        requireBytes(count * entryBytes);
        return (int) count;
    }

    byte[] readBytes(int length) throws MalformedBatchException {
        requireBytes(length);
        byte[] bytes = new byte[length];
        body.get(bytes);
        return bytes;
    }

    /** Reads a text in UTF-8. */
    String readText(int lengthBytes) throws MalformedBatchException {
        return new String(readBytes(lengthBytes), StandardCharsets.UTF_8);
    }
}
