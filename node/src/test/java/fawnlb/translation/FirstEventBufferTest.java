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
    private EventScanner scanner;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Feeds a buffer as a scanner of the same bytes says, which has to find an event's end where it is expected. */
    private String feed(FirstEventBuffer fed, String text, boolean completesEvent) throws IOException {
        scanner.scan(bytes(text));
        assertEquals(text, completesEvent, scanner.completedEvents() > 0);
        return text(fed.feed(bytes(text), scanner.completedEvents() > 0));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    @Test
    public void incompleteFirstEventIsBufferedAndCompletedEventIsReleased() throws IOException {
        for (Split split : SPLITS) {
            FirstEventBuffer splitBuffer = new FirstEventBuffer();
            scanner = new EventScanner(Dialect.CHAT);
            String incomplete = split.incomplete();

            for (char c : incomplete.toCharArray()) {
                assertEquals(incomplete, "", (feed(splitBuffer, String.valueOf(c), false)));
            }
            assertEquals(incomplete.length(), splitBuffer.bufferedBytes());

            String released = (feed(splitBuffer, split.completion(), true));
            assertEquals(incomplete, incomplete + split.completion(), released);
            assertEquals(0, splitBuffer.bufferedBytes());

            assertEquals("half an event later", "data: c", (feed(splitBuffer, "data: c", false)));
        }
    }

    @Test
    public void releaseOfEmptyBufferReturnsNothing() {
        assertEquals("", text(buffer.release()));
    }

    @Test
    public void releaseReturnsBufferedBytesOfIncompleteEvent() throws IOException {
        buffer.feed(bytes("data: ha"), false);

        assertEquals("data: ha", text(buffer.release()));

        assertEquals(0, buffer.bufferedBytes());
        assertEquals("lf", text(buffer.feed(bytes("lf"), false)));
    }

    @Test
    public void commentsBeyondSizeLimitAreRejected() throws IOException {
        for (int i = 0; i < 256; i++) {
            buffer.feed(bytes(":" + "x".repeat(1021) + "\n\n"), false);
        }

        assertThrows(MalformedResponseBodyException.class, () -> buffer.feed(bytes(":\n\n"), false));
    }
}
