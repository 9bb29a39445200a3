package fawnlb.translation;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.Test;

public class EventEndDetectorTest {
    private static final String[] FRAGMENTS = {
        "data", "data:", ": ", "x", "\n", "\r", "\r\n", "event: a", "dat", "database:"
    };
    private static final int STREAMS = 20_000;
    private static final int MAX_FRAGMENTS = 12;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The parser that translates streams decides what an event is. */
    @Test
    public void findsTheEndOfTheFirstEventWhereTheParserDoes() throws IOException {
        Random random = new Random(1);
        for (int i = 0; i < STREAMS; i++) {
            StringBuilder stream = new StringBuilder();
            for (int fragment = random.nextInt(MAX_FRAGMENTS); fragment >= 0; fragment--) {
                stream.append(FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
            }
            assertSameEnd(stream.toString());
        }
    }

    private static void assertSameEnd(String stream) throws IOException {
        SseParser parser = new SseParser();
        EventEndDetector detector = new EventEndDetector();
        for (int i = 0; i < stream.length(); i++) {
            boolean expected = !parser.feed(bytes(stream.substring(i, i + 1))).isEmpty();
            assertEquals(stream + " at " + i, expected, detector.endsWithin(bytes(stream.substring(i, i + 1))));
            if (expected) {
                return;
            }
        }
    }

    @Test
    public void readsWithoutMovingThePosition() {
        ByteBuffer event = bytes("data: 1\n\n");

        assertEquals(true, new EventEndDetector().endsWithin(event));
        assertEquals(0, event.position());
    }
}
