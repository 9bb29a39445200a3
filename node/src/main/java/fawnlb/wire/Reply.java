package fawnlb.wire;

import fawnlb.decision.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Gathers the actions of one batch and writes them as one reply. */
final class Reply {
    private static final int HEADER = 8;
    private static final int MAX_TEXT_LENGTH = 0xffff;

    private ByteBuffer out = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    Reply() {
        out.position(HEADER);
    }

    private void record(int code, int instance, int fields) {
        if (out.remaining() < 3 + fields) {
            int at = out.position();
            out = ByteBuffer.wrap(Arrays.copyOf(out.array(), 2 * out.capacity() + fields))
                    .order(ByteOrder.LITTLE_ENDIAN);
            out.position(at);
        }
        records++;
        out.put((byte) code).putShort((short) instance);
    }

    void add(int instance, Balancer.Action action) {
        if (action instanceof Balancer.Send a) {
            record(73, instance, 20);
            out.putLong(a.request()).putInt((int) a.replica()).putLong(a.stopAt());
        } else if (action instanceof Balancer.Timer a) {
            record(70, instance, 12);
            out.putLong(a.at()).putInt(a.token());
        } else if (action instanceof Balancer.Refuse a) {
            record(66, instance, 16);
            out.putLong(a.request()).putLong(a.retryAfter());
        } else if (action instanceof Balancer.Fail a) {
            record(68, instance, 8);
            out.putLong(a.request());
        } else if (action instanceof Balancer.Cancel a) {
            record(65, instance, 9);
            out.putLong(a.request()).put((byte) a.attempt());
        } else if (action instanceof Balancer.Subscribe) {
            record(72, instance, 1);
            out.put((byte) 1);
        } else if (action instanceof Balancer.Fetch) {
            record(67, instance, 0);
        } else if (action instanceof Balancer.Probe a) {
            record(75, instance, 4);
            out.putInt((int) a.replica());
        } else if (action instanceof Balancer.Log a) {
            text(74, instance, a.text());
        } else {
            throw new IllegalArgumentException("no wire form for " + action);
        }
    }

    /** Declares the instance's module broken. */
    void fault(int instance, String what) {
        text(69, instance, what);
    }

    private void text(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(bytes.length, MAX_TEXT_LENGTH);
        record(code, instance, 2 + n);
        out.putShort((short) n).put(bytes, 0, n);
    }

    void flushTo(OutputStream stream) throws IOException {
        int end = out.position();
        out.putInt(0, end - HEADER).putInt(4, records);
        stream.write(out.array(), 0, end);
        stream.flush();
        out.position(HEADER);
        records = 0;
    }
}
