package fawnlb.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads frames of the simulator's wire and the fields of their records, and says where a bad one stands. */
final class BatchReader {
    static final int HEADER_BYTES = 16;
    private static final int MAX_BATCH_BYTES = 1 << 30;

    private final InputStream in;
    private long batchPosition;
    private long nextBatchPosition;
    private ByteBuffer body = ByteBuffer.allocate(0);
    private int recordCount;
    private long clockNanos;

    BatchReader(InputStream in) {
        this.in = in;
    }

    /** A frame that breaks the format; the message names the fault and the byte of the stream. */
    static final class MalformedBatchException extends IOException {
        private static final long serialVersionUID = 1;

        MalformedBatchException(String problem, long position) {
            super(problem + " at byte " + position);
        }
    }

    /** Reads the next frame whole; false at the end of the input. */
    boolean readBatch() throws IOException {
        batchPosition = nextBatchPosition;
        byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length == 0) {
            return false;
        }
        if (header.length < HEADER_BYTES) {
            throw new MalformedBatchException("input ends inside a batch header", batchPosition + header.length);
        }
        ByteBuffer headerBuffer = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        recordCount = headerBuffer.getInt();
        int length = headerBuffer.getInt();
        clockNanos = headerBuffer.getLong();
        if (length < 0 || length > MAX_BATCH_BYTES || recordCount < 0 || recordCount > length) {
            throw new MalformedBatchException(
                    "impossible batch: " + Integer.toUnsignedString(recordCount) + " records in "
                            + Integer.toUnsignedString(length) + " bytes",
                    batchPosition);
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new MalformedBatchException("input ends inside a batch", batchPosition + HEADER_BYTES + bytes.length);
        }
        body = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        nextBatchPosition = batchPosition + HEADER_BYTES + length;
        return true;
    }

    int recordCount() {
        return recordCount;
    }

    long clockNanos() {
        return clockNanos;
    }

    boolean atEnd() {
        return !body.hasRemaining();
    }

    /** The position in the stream of the next field. */
    long position() {
        return batchPosition + HEADER_BYTES + body.position();
    }

    MalformedBatchException malformed(String problem, long position) {
        return new MalformedBatchException(problem, position);
    }

    private void requireBytes(long bytes) throws MalformedBatchException {
        if (bytes < 0 || body.remaining() < bytes) {
            throw new MalformedBatchException("record runs past the end of its batch", position());
        }
    }

    int readUnsignedByte() throws MalformedBatchException {
        requireBytes(1);
        return body.get() & 0xff;
    }

    int readUnsignedShort() throws MalformedBatchException {
        requireBytes(2);
        return body.getShort() & 0xffff;
    }

    long readUnsignedInt() throws MalformedBatchException {
        requireBytes(4);
        return body.getInt() & 0xffffffffL;
    }

    long readLong() throws MalformedBatchException {
        requireBytes(8);
        return body.getLong();
    }

    double readFloat() throws MalformedBatchException {
        requireBytes(4);
        return body.getFloat();
    }

    /** A count of entries of the given size, checked against what the batch still holds. */
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

    String readText(int length) throws MalformedBatchException {
        return new String(readBytes(length), StandardCharsets.UTF_8);
    }
}
