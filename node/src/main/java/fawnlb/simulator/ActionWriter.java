package fawnlb.simulator;

import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancerAction;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the actions that answer a batch of events, and writes them as one batch. All numbers are little-endian. It
 * is used by one thread.
 */
final class ActionWriter {
    private static final int HEADER_BYTES = 8;
    private static final int RECORD_HEADER_BYTES = Byte.BYTES + Short.BYTES;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int MAX_TEXT_BYTES = 0xffff;
    /** Of the ways in which endpoints can be watched, the one that is used. */
    private static final byte WATCH_ENABLED = 1;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    ActionWriter() {
        buffer.position(HEADER_BYTES);
    }

    /** Adds an action to the batch. */
    void writeAction(int instance, LoadBalancerAction action) {
        if (action instanceof LoadBalancerAction.StartAttempt start) {
            writeStartAttempt(instance, start);
        } else if (action instanceof LoadBalancerAction.CancelAttempt cancel) {
            beginRecord(RecordCodes.CANCEL_ATTEMPT, instance, Long.BYTES + Byte.BYTES);
            buffer.putLong(cancel.requestId()).put((byte) cancel.attempt());
        } else if (action instanceof LoadBalancerAction.RejectRequest reject) {
            beginRecord(RecordCodes.REJECT_REQUEST, instance, Long.BYTES + Long.BYTES);
            buffer.putLong(reject.requestId()).putLong(reject.retryAfterNanos());
        } else if (action instanceof LoadBalancerAction.FailRequest fail) {
            beginRecord(RecordCodes.FAIL_REQUEST, instance, Long.BYTES);
            buffer.putLong(fail.requestId());
        } else if (action instanceof LoadBalancerAction.SetTimer timer) {
            beginRecord(RecordCodes.SET_TIMER, instance, Long.BYTES + Integer.BYTES);
            buffer.putLong(timer.dueAt()).putInt(timer.token());
        } else if (action instanceof LoadBalancerAction.WatchEndpoints) {
            beginRecord(RecordCodes.WATCH_ENDPOINTS, instance, Byte.BYTES);
            buffer.put(WATCH_ENABLED);
        } else if (action instanceof LoadBalancerAction.FetchEndpoints) {
            beginRecord(RecordCodes.FETCH_ENDPOINTS, instance, 0);
        } else if (action instanceof LoadBalancerAction.CheckHealth check) {
            beginRecord(RecordCodes.CHECK_HEALTH, instance, Integer.BYTES);
            buffer.putInt(numberOf(check.endpointId()));
        } else if (action instanceof LoadBalancerAction.Log log) {
            writeText(RecordCodes.LOG, instance, log.text());
        } else {
            throw new IllegalStateException("no wire form for " + action);
        }
    }

    private void writeStartAttempt(int instance, LoadBalancerAction.StartAttempt start) {
        beginRecord(RecordCodes.START_ATTEMPT, instance, Long.BYTES + Integer.BYTES + Long.BYTES);
        buffer.putLong(start.requestId());
        buffer.putInt(numberOf(start.endpointId()));
        buffer.putLong(start.deadline());
    }

    /** The unsigned number by which the format names an endpoint. */
    private static int numberOf(EndpointId id) {
        return (int) id.ringSeed();
    }

    /** Adds to the batch that the load balancer of an instance has failed. */
    void writeFault(int instance, String description) {
        writeText(RecordCodes.LOAD_BALANCER_FAULT, instance, description);
    }

    private void writeText(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        beginRecord(code, instance, Short.BYTES + length);
        buffer.putShort((short) length).put(bytes, 0, length);
    }

    private void beginRecord(int code, int instance, int fieldBytes) {
        ensureRemaining(RECORD_HEADER_BYTES + fieldBytes);
        recordCount++;
        buffer.put((byte) code).putShort((short) instance);
    }

    private void ensureRemaining(int bytes) {
        if (buffer.remaining() < bytes) {
            int position = buffer.position();
            byte[] larger = Arrays.copyOf(buffer.array(), 2 * buffer.capacity() + bytes);
            buffer = ByteBuffer.wrap(larger).order(ByteOrder.LITTLE_ENDIAN);
            buffer.position(position);
        }
    }

    /** Writes the batch and begins the next one. */
    void writeBatchTo(OutputStream out) throws IOException {
        int end = buffer.position();
        buffer.putInt(0, end - HEADER_BYTES).putInt(Integer.BYTES, recordCount);
        out.write(buffer.array(), 0, end);
        out.flush();
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }
}
