package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

/** The heap that heads were seen to hold, and what is estimated for them. */
public class RequestHeadSizeTest {
    private static long estimate(String head) {
        RequestHeadSize size = new RequestHeadSize();
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int half = bytes.length / 2;
        size.add(buffer, 0, half);
        size.add(buffer, half, bytes.length);
        return size.heapBytes();
    }

    private static void assertBetween(long least, long most, long value) {
        assertTrue(value + " bytes", value >= least && value <= most);
    }

    @Test
    public void manyShortFieldsCountForMoreThanTheirBytes() {
        String start = "POST /v1/chat/completions HTTP/1.1\r\n";
        assertBetween(4_400, 8_000, estimate(start + "X-Name: value\r\n".repeat(8)));
        assertBetween(13_900, 20_000, estimate(start + "ab:b\r\n".repeat(62)));
        assertBetween(20_900, 30_000, estimate(start + ("ab:" + "v".repeat(120) + "\r\n").repeat(62)));
        assertBetween(144_600, 170_000, estimate("POST /" + ";ab".repeat(930) + " HTTP/1.1\r\n"));
    }

    @Test
    public void onlyWhatIsBehindACompleteHeadCounts() {
        RequestHeadSize size = new RequestHeadSize();
        String rest = "GET /;a;b HTTP/1.1\r\nHost";
        size.add(ByteBuffer.wrap("x".repeat(1000).getBytes(StandardCharsets.ISO_8859_1)), 0, 1000);

        byte[] read = ("Host: x\r\n".repeat(50) + "\r\n" + rest).getBytes(StandardCharsets.ISO_8859_1);
        assertTrue(size.add(ByteBuffer.wrap(read), 0, read.length));

        assertEquals(estimate(rest), size.heapBytes());
        assertFalse(size.add(ByteBuffer.wrap(read), 0, 20));
        assertTrue(
                "bare line feeds end a head too",
                size.add(ByteBuffer.wrap("a\n\n".getBytes(StandardCharsets.ISO_8859_1)), 0, 3));
    }

    @Test
    public void nextHeadIsCountedAnew() {
        RequestHeadSize size = new RequestHeadSize();
        long empty = size.heapBytes();
        size.add(ByteBuffer.wrap(new byte[100]), 0, 100);
        size.reset();

        assertTrue(size.heapBytes() == empty);
    }
}
