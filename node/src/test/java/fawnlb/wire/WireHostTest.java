package fawnlb.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.config.SettingsParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WireHostTest {
    private static final String SETTINGS =
            "profiles.count=1\nprofiles.0.effect=safe\nprofiles.0.deadline-ns=4000000000\n";

    private static byte[] frame(int records, byte[] body) {
        return ByteBuffer.allocate(16 + body.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(records)
                .putInt(body.length)
                .putLong(5_000_000_000L)
                .put(body)
                .array();
    }

    private static byte[] day() {
        ByteBuffer b = ByteBuffer.allocate(1000).order(ByteOrder.LITTLE_ENDIAN);
        b.put((byte) 0)
                .putShort((short) 3)
                .putLong(42)
                .putInt(SETTINGS.length())
                .put(SETTINGS.getBytes());
        b.put((byte) 10).putShort((short) 1).putInt(1);
        b.putLong(0)
                .putFloat(1)
                .put((byte) 1)
                .putShort((short) 0)
                .putInt(77)
                .put((byte) 0)
                .putShort((short) 0);
        b.put((byte) 1).putShort((short) 3).put((byte) 2).putLong(1).putShort((short) 1);
        b.put((byte) 2)
                .putShort((short) 3)
                .putLong(900)
                .putShort((short) 0)
                .putInt(0)
                .putLong(0)
                .putLong(1_000_000_000L)
                .putLong(0)
                .putLong(6)
                .putFloat(10)
                .putFloat(5)
                .putFloat(20)
                .put((byte) 0);
        return frame(4, Arrays.copyOf(b.array(), b.position()));
    }

    private static byte[] play(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReplyAndTheEndOfInputEndsQuietly() throws IOException {
        assertArrayEquals(new byte[8], play(frame(0, new byte[0])));
        assertArrayEquals(new byte[0], play(new byte[0]));
    }

    @Test
    void aRequestIsForwardedToTheListedWorker() throws IOException {
        ByteBuffer reply = ByteBuffer.wrap(play(day())).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(23, reply.getInt());
        assertEquals(1, reply.getInt());
        assertEquals(73, reply.get());
        assertEquals(3, reply.getShort());
        assertEquals(900, reply.getLong());
        assertEquals(77, reply.getInt());
    }

    @Test
    void aFaultInTheModuleIsDeclaredWithItsCause() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(day()), out, (settings, seed, sink) -> (now, event) -> {
                    throw new IllegalStateException("broken sum");
                })
                .run();
        byte[] reply = out.toByteArray();
        assertEquals(69, reply[8]);
        String text = new String(reply);
        assertTrue(text.contains("broken sum") && text.contains("Listed"), text);
    }

    private static String fault(byte[] input) {
        return assertThrows(Frames.BadFrame.class, () -> play(input)).getMessage();
    }

    @Test
    void damagedInputIsNamedWithItsByte() {
        byte[] day = day();
        assertTrue(fault(Arrays.copyOf(day, 7)).contains("byte 7"));
        assertTrue(fault(Arrays.copyOf(day, day.length - 1)).contains("byte " + (day.length - 1)));
        assertTrue(fault(frame(1, new byte[] {99, 0, 0})).contains("record code 99 at byte 16"));
        assertTrue(fault(frame(1, new byte[] {10, 16, 0, 0, 0, 0, 0})).contains("list number 16"));
        assertTrue(fault(frame(0, new byte[1])).contains("byte 16"));
        byte[] huge = frame(0, new byte[0]);
        huge[7] = (byte) 0x80;
        assertTrue(fault(huge).contains("impossible batch"));
        byte[] undefined = {1, 3, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0};
        assertTrue(fault(frame(1, undefined)).contains("unknown list number 5 at byte 16"));
    }

    @Test
    void damagedFramesNeverDoAnythingButAnswerOrComplain() throws IOException {
        SplittableRandom random = new SplittableRandom(11);
        int complaints = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = day();
            for (int n = random.nextInt(1, 4); n > 0; n--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                play(bytes);
            } catch (Frames.BadFrame e) {
                complaints++;
            }
        }
        assertTrue(complaints > 100);
    }

    @Test
    void settingsThatDoNotParseAreNamedAndGetTheirDefault() {
        SettingsParser parser =
                new SettingsParser("tick-ns=soon\nlimits.second-copies=maybe\nother=1\nrules.cold-ns=-4");
        assertEquals(false, parser.settings().limits().secondCopies());
        assertEquals(1_000_000, parser.settings().tick());
        assertTrue(parser.complaints().get(0).contains("limits.second-copies"));
        assertTrue(parser.complaints().stream().noneMatch(line -> line.contains("other")));
    }
}
