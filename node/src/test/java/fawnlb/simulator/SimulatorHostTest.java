package fawnlb.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SimulatorHostTest {
    /**
     * Codes of the simulator's format, written out here because the simulator does not follow a change of the
     * constants.
     */
    private static final int ATTACH_INSTANCE_CODE = 0;

    private static final int ENDPOINTS_UPDATED_CODE = 1;
    private static final int REQUEST_ARRIVED_CODE = 2;
    private static final int ENDPOINT_LIST_CODE = 10;

    private static final String SETTINGS =
            "profiles.count=1\nprofiles.0.effect=safe\nprofiles.0.deadline-ns=4000000000\n";

    private static byte[] batch(int records, byte[] body) {
        return ByteBuffer.allocate(16 + body.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(records)
                .putInt(body.length)
                .putLong(5_000_000_000L)
                .put(body)
                .array();
    }

    /**
     * A batch that attaches instance 3, lists endpoint 77 as list 1, tells the instance of it, and sends request 900.
     */
    private static byte[] oneRequestBatch() {
        ByteBuffer buffer = ByteBuffer.allocate(1000).order(ByteOrder.LITTLE_ENDIAN);
        putAttachInstance(buffer);
        putEndpointList(buffer);
        putRecordHeader(buffer, ENDPOINTS_UPDATED_CODE, 3);
        buffer.put((byte) 2).putLong(1).putShort((short) 1);
        putRequestArrived(buffer);
        return batch(4, Arrays.copyOf(buffer.array(), buffer.position()));
    }

    private static void putRecordHeader(ByteBuffer buffer, int code, int instance) {
        buffer.put((byte) code).putShort((short) instance);
    }

    private static void putAttachInstance(ByteBuffer buffer) {
        putRecordHeader(buffer, ATTACH_INSTANCE_CODE, 3);
        buffer.putLong(42).putInt(SETTINGS.length()).put(SETTINGS.getBytes(StandardCharsets.UTF_8));
    }

    private static void putEndpointList(ByteBuffer buffer) {
        putRecordHeader(buffer, ENDPOINT_LIST_CODE, 1);
        buffer.putInt(1);
        buffer.putLong(0).putFloat(1).put((byte) 1).putShort((short) 0);
        buffer.putInt(77).put((byte) 0).putShort((short) 0);
    }

    private static void putRequestArrived(ByteBuffer buffer) {
        putRecordHeader(buffer, REQUEST_ARRIVED_CODE, 3);
        buffer.putLong(900).putShort((short) 0).putInt(0);
        buffer.putLong(0).putLong(1_000_000_000L).putLong(0).putLong(6);
        buffer.putFloat(10).putFloat(5).putFloat(20).put((byte) 0);
    }

    private static byte[] exchange(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost(new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    @Test
    void emptyBatchGetsEmptyReplyAndEndOfInputEndsQuietly() throws IOException {
        assertArrayEquals(new byte[8], exchange(batch(0, new byte[0])));
        assertArrayEquals(new byte[0], exchange(new byte[0]));
    }

    @Test
    void requestIsForwardedToTheListedEndpoint() throws IOException {
        ByteBuffer reply = ByteBuffer.wrap(exchange(oneRequestBatch())).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(23, reply.getInt());
        assertEquals(1, reply.getInt());
        assertEquals(73, reply.get());
        assertEquals(3, reply.getShort());
        assertEquals(900, reply.getLong());
        assertEquals(77, reply.getInt());
    }

    @Test
    void loadBalancerErrorIsReportedWithItsCause() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost(new ByteArrayInputStream(oneRequestBatch()), out, (settings, seed, sink) -> (now, event) -> {
                    throw new IllegalStateException("broken sum");
                })
                .run();
        byte[] reply = out.toByteArray();
        assertEquals(69, reply[8]);
        String text = new String(reply, StandardCharsets.UTF_8);
        assertTrue(text.contains("broken sum") && text.contains("EndpointsUpdated"), text);
    }

    private static String malformedBatchMessage(byte[] input) {
        MalformedBatchException e = assertThrows(MalformedBatchException.class, () -> exchange(input));
        assertTrue(e.getMessage().endsWith(" at byte " + e.position()), e.getMessage());
        return e.getMessage();
    }

    @Test
    void malformedInputIsReportedWithItsByteOffset() {
        byte[] batch = oneRequestBatch();
        assertTrue(malformedBatchMessage(Arrays.copyOf(batch, 7)).contains("byte 7"));
        assertTrue(
                malformedBatchMessage(Arrays.copyOf(batch, batch.length - 1)).contains("byte " + (batch.length - 1)));
        assertTrue(malformedBatchMessage(batch(1, new byte[] {99, 0, 0})).contains("record code 99 at byte 16"));
        assertTrue(malformedBatchMessage(batch(1, new byte[] {10, 16, 0, 0, 0, 0, 0}))
                .contains("list number 16"));
        assertTrue(malformedBatchMessage(batch(0, new byte[1])).contains("byte 16"));
        byte[] huge = batch(0, new byte[0]);
        huge[7] = (byte) 0x80;
        assertTrue(malformedBatchMessage(huge).contains("impossible batch"));
        byte[] undefined = {1, 3, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0};
        assertTrue(malformedBatchMessage(batch(1, undefined)).contains("unknown list number 5 at byte 16"));
    }

    @Test
    void corruptedBatchesAreEitherAnsweredOrReportedAsMalformed() throws IOException {
        SplittableRandom random = new SplittableRandom(11);
        int malformedCount = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = oneRequestBatch();
            for (int n = random.nextInt(1, 4); n > 0; n--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                exchange(bytes);
            } catch (MalformedBatchException e) {
                malformedCount++;
            }
        }
        assertTrue(malformedCount > 100);
    }
}
