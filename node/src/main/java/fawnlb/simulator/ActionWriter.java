package fawnlb.simulator;

import fawnlb.decision.LoadBalancerAction;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Gathers the actions of one batch and writes them as one reply. */
final class ActionWriter {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_BYTES = 0xffff;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    ActionWriter() {
        buffer.position(HEADER_BYTES);
    }

    private void beginRecord(int code, int instance, int fieldBytes) {
        if (buffer.remaining() < 3 + fieldBytes) {
            int position = buffer.position();
            buffer = ByteBuffer.wrap(Arrays.copyOf(buffer.array(), 2 * buffer.capacity() + fieldBytes))
                    .order(ByteOrder.LITTLE_ENDIAN);
            buffer.position(position);
        }
        recordCount++;
        buffer.put((byte) code).putShort((short) instance);
    }

    void writeAction(int instance, LoadBalancerAction action) {
        if (action instanceof LoadBalancerAction.StartAttempt a) {
            beginRecord(73, instance, 20);
            buffer.putLong(a.requestId()).putInt((int) a.endpointId()).putLong(a.deadline());
        } else if (action instanceof LoadBalancerAction.SetTimer a) {
            beginRecord(70, instance, 12);
            buffer.putLong(a.dueAt()).putInt(a.token());
        } else if (action instanceof LoadBalancerAction.RejectRequest a) {
            beginRecord(66, instance, 16);
            buffer.putLong(a.requestId()).putLong(a.retryAfterNanos());
        } else if (action instanceof LoadBalancerAction.FailRequest a) {
            beginRecord(68, instance, 8);
            buffer.putLong(a.requestId());
        } else if (action instanceof LoadBalancerAction.CancelAttempt a) {
            beginRecord(65, instance, 9);
            buffer.putLong(a.requestId()).put((byte) a.attempt());
        } else if (action instanceof LoadBalancerAction.WatchEndpoints) {
            beginRecord(72, instance, 1);
            buffer.put((byte) 1);
        } else if (action instanceof LoadBalancerAction.FetchEndpoints) {
            beginRecord(67, instance, 0);
        } else if (action instanceof LoadBalancerAction.CheckHealth a) {
            beginRecord(75, instance, 4);
            buffer.putInt((int) a.endpointId());
        } else if (action instanceof LoadBalancerAction.Log a) {
            writeText(74, instance, a.text());
        } else {
            throw new IllegalArgumentException("no wire form for " + action);
        }
    }

    /** Declares the instance's module broken. */
    void writeModuleFault(int instance, String description) {
        writeText(69, instance, description);
    }

    private void writeText(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        beginRecord(code, instance, 2 + length);
        buffer.putShort((short) length).put(bytes, 0, length);
    }

    void writeBatchTo(OutputStream out) throws IOException {
        int end = buffer.position();
        buffer.putInt(0, end - HEADER_BYTES).putInt(4, recordCount);
        out.write(buffer.array(), 0, end);
        out.flush();
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }
}
