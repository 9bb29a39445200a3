package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.Test;

public class EventScannerTest {
    private static final String[] FRAGMENTS = {
        "data", "data:", ": ", "x", "\n", "\r", "\r\n", "event: a", "dat", "database:", "event"
    };
    private static final int STREAMS = 20_000;
    private static final int MAX_FRAGMENTS = 12;

    /** A text, how many events it completes, and how many bytes of another one follow. */
    private record Case(String text, int completed, int partialBytes) {}

    private static final List<Case> CASES = List.of(
            new Case("data: {\"a\":1}\n\n", 1, 0),
            new Case("data:{\"a\":\"}\\\"{\"}\r\n\r\n", 1, 0),
            new Case("event: x\rdata: {}\r\r", 1, 0),
            new Case("data: {\"a\":\ndata: 1}\n\n", 1, 0),
            new Case(": comment\n\ndata: {}\n\n: comment\n", 1, 0),
            new Case("id: 1\nretry: 2\n\n", 0, 0),
            new Case("database: {}\n\n", 0, 0),
            new Case("dvta: {}\n\neata: {}\n\n", 0, 0),
            new Case("event: x\n\n", 0, 0),
            new Case("data: {}\n", 0, 9),
            new Case("data: {\"a", 0, 9),
            new Case("dat", 0, 0),
            new Case("data: [DON", 0, 10),
            new Case("data: xx", 0, 8),
            new Case("data: {\"a\ndata: b\"}\n\n", 1, 0),
            new Case("event: step\nid: 7\ndata: step 1 of 2\n\n", 1, 0),
            new Case("data: [1,2]\n\ndata: 7\n\ndata: {\"a\":1\n\ndata: xx\n\n", 4, 0),
            new Case("data\n\ndata:\n\n", 2, 0));

    private static EventScanner scan(Dialect dialect, String text) {
        EventScanner scanner = new EventScanner(dialect);
        scanner.scan(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return scanner;
    }

    @Test
    public void countsEventsAndTheBytesOfOneThatHasBegun() {
        for (Case expected : CASES) {
            EventScanner scanner = scan(Dialect.CHAT, expected.text());

            assertEquals(expected.text(), expected.completed(), scanner.completedEvents());
            assertEquals(expected.text(), expected.partialBytes(), scanner.partialEventBytes());
        }
    }

    @Test
    public void resultDoesNotDependOnHowTheBytesAreSplit() {
        for (Case expected : CASES) {
            EventScanner scanner = new EventScanner(Dialect.CHAT);
            int completed = 0;
            for (byte next : expected.text().getBytes(StandardCharsets.UTF_8)) {
                scanner.scan(ByteBuffer.wrap(new byte[] {next}));
                completed += scanner.completedEvents();
            }
            assertEquals(expected.text(), expected.completed(), completed);
            assertEquals(expected.text(), expected.partialBytes(), scanner.partialEventBytes());
        }
    }

    @Test
    public void lastEventIsThatOfTheDialect() {
        assertTrue(scan(Dialect.CHAT, "data: [DONE]\n\n").isLastEventComplete());
        assertTrue(scan(Dialect.MESSAGES, "event: message_stop\ndata: {}\n\n").isLastEventComplete());
        assertTrue(
                scan(Dialect.MESSAGES, "data: {\"type\": \"message_stop\"}\n\n").isLastEventComplete());
        assertFalse(scan(Dialect.MESSAGES, "data: [DONE]\n\n").isLastEventComplete());
        assertFalse(scan(Dialect.CHAT, "data: {\"a\":\"[DONE]\"}\n\n").isLastEventComplete());
    }

    @Test
    public void nothingIsAnEventBehindTheLastOne() {
        EventScanner scanner = scan(Dialect.CHAT, "data: {}\n\ndata: [DONE]\n\ndata: {}\n\n");

        assertEquals(2, scanner.completedEvents());
    }

    /** An event of another name may have any data. */
    @Test
    public void namedEventIsNotTheLastOne() {
        assertFalse(scan(Dialect.CHAT, "event: x\ndata: [DONE]\n\n").isLastEventComplete());
        assertTrue(scan(Dialect.CHAT, "event: message\ndata: [DONE]\n\n").isLastEventComplete());
        assertFalse(scan(Dialect.MESSAGES, "event: x\ndata: {\"type\":\"message_stop\"}\n\n")
                .isLastEventComplete());
        assertFalse(scan(Dialect.MESSAGES, "event: message_stop\nevent: x\ndata: {}\n\n")
                .isLastEventComplete());
    }

    /** The parser that translates streams decides what an event is. */
    @Test
    public void findsTheEndsOfEventsWhereTheParserDoes() throws IOException {
        Random random = new Random(1);
        for (int i = 0; i < STREAMS; i++) {
            StringBuilder stream = new StringBuilder();
            for (int fragment = random.nextInt(MAX_FRAGMENTS); fragment >= 0; fragment--) {
                stream.append(FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
            }
            assertSameEnds(stream.toString());
        }
    }

    private static void assertSameEnds(String stream) throws IOException {
        SseParser parser = new SseParser();
        EventScanner scanner = new EventScanner(Dialect.CHAT);
        for (int i = 0; i < stream.length(); i++) {
            byte[] next = {(byte) stream.charAt(i)};
            int expected = parser.feed(ByteBuffer.wrap(next)).size();
            scanner.scan(ByteBuffer.wrap(next));
            assertEquals(stream + " at " + i, expected, scanner.completedEvents());
        }
    }

    @Test
    public void readsWithoutMovingThePosition() {
        ByteBuffer event = ByteBuffer.wrap("data: 1\n\n".getBytes(StandardCharsets.UTF_8));

        new EventScanner(Dialect.CHAT).scan(event);

        assertEquals(0, event.position());
    }
}
