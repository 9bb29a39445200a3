package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class FirstEventBufferTest {
    /** What came before the first event was whole, and what came from its end on. */
    private static final String[][] CASES = {
        {"data: a", "\n\n"},
        {"data: a\n", "\n"},
        {"data: a\r\n", "\r\ndata: b"},
        {": hello\n\n", "data: a\n\ndata"},
        {"event: e\n\ndata", ": a\n\n"},
        {"event: e\ndata: a", "\r\rdata: b"}
    };

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    @Test
    public void incompleteFirstEventIsBufferedAndCompletedEventIsReleased() throws IOException {
        for (String[] row : CASES) {
            FirstEventBuffer buffer = new FirstEventBuffer();
            for (char c : row[0].toCharArray()) {
                assertEquals(row[0], "", text(buffer.feed(bytes(String.valueOf(c)))));
            }
            assertEquals(row[0].length(), buffer.bufferedBytes());
            assertEquals(row[0], row[0] + row[1], text(buffer.feed(bytes(row[1]))));
            assertEquals(0, buffer.bufferedBytes());
            assertEquals("half an event later", "data: c", text(buffer.feed(bytes("data: c"))));
        }
    }

    @Test
    public void releaseReturnsBufferedBytesOfIncompleteEvent() throws IOException {
        FirstEventBuffer buffer = new FirstEventBuffer();
        assertEquals("", text(buffer.release()));
        buffer = new FirstEventBuffer();
        buffer.feed(bytes("data: ha"));
        assertEquals("data: ha", text(buffer.release()));
        assertEquals(0, buffer.bufferedBytes());
        assertEquals("lf", text(buffer.feed(bytes("lf"))));
    }

    @Test
    public void commentsBeyondSizeLimitAreRejected() throws IOException {
        FirstEventBuffer buffer = new FirstEventBuffer();
        for (int i = 0; i < 256; i++) {
            buffer.feed(bytes(":" + "x".repeat(1021) + "\n\n"));
        }
        assertThrows(IOException.class, () -> buffer.feed(bytes(":\n\n")));
    }
}
