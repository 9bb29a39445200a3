package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

public class FirstEventBufferTest {
    /** Bytes of an incomplete first event, and the bytes that complete it. */
    private record Split(String incomplete, String completion) {}

    private static final List<Split> SPLITS = List.of(
            new Split("data: a", "\n\n"),
            new Split("data: a\n", "\n"),
            new Split("data: a\r\n", "\r\ndata: b"),
            new Split(": hello\n\n", "data: a\n\ndata"),
            new Split("event: e\n\ndata", ": a\n\n"),
            new Split("event: e\ndata: a", "\r\rdata: b"));

    private final FirstEventBuffer buffer = new FirstEventBuffer();

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    @Test
    public void incompleteFirstEventIsBufferedAndCompletedEventIsReleased() throws IOException {
        for (Split split : SPLITS) {
            FirstEventBuffer splitBuffer = new FirstEventBuffer();
            String incomplete = split.incomplete();

            for (char c : incomplete.toCharArray()) {
                assertEquals(incomplete, "", text(splitBuffer.feed(bytes(String.valueOf(c)))));
            }
            assertEquals(incomplete.length(), splitBuffer.bufferedBytes());

            String released = text(splitBuffer.feed(bytes(split.completion())));
            assertEquals(incomplete, incomplete + split.completion(), released);
            assertEquals(0, splitBuffer.bufferedBytes());

            assertEquals("half an event later", "data: c", text(splitBuffer.feed(bytes("data: c"))));
        }
    }

    @Test
    public void releaseOfEmptyBufferReturnsNothing() {
        assertEquals("", text(buffer.release()));
    }

    @Test
    public void releaseReturnsBufferedBytesOfIncompleteEvent() throws IOException {
        buffer.feed(bytes("data: ha"));

        assertEquals("data: ha", text(buffer.release()));

        assertEquals(0, buffer.bufferedBytes());
        assertEquals("lf", text(buffer.feed(bytes("lf"))));
    }

    @Test
    public void commentsBeyondSizeLimitAreRejected() throws IOException {
        for (int i = 0; i < 256; i++) {
            buffer.feed(bytes(":" + "x".repeat(1021) + "\n\n"));
        }

        assertThrows(MalformedResponseBodyException.class, () -> buffer.feed(bytes(":\n\n")));
    }
}
