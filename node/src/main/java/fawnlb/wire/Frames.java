package fawnlb.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads frames of the simulator's wire and the fields of their records, and says where a bad one stands. */
final class Frames {
    static final int HEADER = 16;
    private static final int MAX_BYTES = 1 << 30;

    private final InputStream in;
    private long frameAt;
    private long nextAt;
    private ByteBuffer body = ByteBuffer.allocate(0);
    private int records;
    private long clock;

    Frames(InputStream in) {
        this.in = in;
    }

    /** A frame that breaks the format; the message names the fault and the byte of the stream. */
    static final class BadFrame extends IOException {
        private static final long serialVersionUID = 1;

        BadFrame(String what, long at) {
            super(what + " at byte " + at);
        }
    }

    /** Reads the next frame whole; false at the end of the input. */
    boolean next() throws IOException {
        frameAt = nextAt;
        byte[] header = in.readNBytes(HEADER);
        if (header.length == 0) {
            return false;
        }
        if (header.length < HEADER) {
            throw new BadFrame("input ends inside a batch header", frameAt + header.length);
        }
        ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        records = head.getInt();
        int length = head.getInt();
        clock = head.getLong();
        if (length < 0 || length > MAX_BYTES || records < 0 || records > length) {
            throw new BadFrame(
                    "impossible batch: " + Integer.toUnsignedString(records) + " records in "
                            + Integer.toUnsignedString(length) + " bytes",
                    frameAt);
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new BadFrame("input ends inside a batch", frameAt + HEADER + bytes.length);
        }
        body = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        nextAt = frameAt + HEADER + length;
        return true;
    }

    int records() {
        return records;
    }

    long clock() {
        return clock;
    }

    boolean atEnd() {
        return !body.hasRemaining();
    }

    /** The position in the stream of the next field. */
    long at() {
        return frameAt + HEADER + body.position();
    }

    BadFrame bad(String what, long at) {
        return new BadFrame(what, at);
    }

    private void need(long bytes) throws BadFrame {
        if (bytes < 0 || body.remaining() < bytes) {
            throw new BadFrame("record runs past the end of its batch", at());
        }
    }

    int u8() throws BadFrame {
        need(1);
        return body.get() & 0xff;
    }

    int u16() throws BadFrame {
        need(2);
        return body.getShort() & 0xffff;
    }

    long u32() throws BadFrame {
        need(4);
        return body.getInt() & 0xffffffffL;
    }

    long u64() throws BadFrame {
        need(8);
        return body.getLong();
    }

    double f32() throws BadFrame {
        need(4);
        return body.getFloat();
    }

    /** A count of entries of the given size, checked against what the batch still holds. */
    int count(int size) throws BadFrame {
        long n = u32();
        need(n * size);
        return (int) n;
    }

    byte[] bytes(int n) throws BadFrame {
        need(n);
        byte[] out = new byte[n];
        body.get(out);
        return out;
    }

    String text(int n) throws BadFrame {
        return new String(bytes(n), StandardCharsets.UTF_8);
    }
}
