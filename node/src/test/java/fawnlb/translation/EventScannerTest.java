package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

public class EventScannerTest {
    /** A text, how many sound events it completes, how many bytes of another one follow, and whether it is sound. */
    private record Case(String text, int completed, int partialBytes, boolean isSound) {}

    private static final List<Case> CASES = List.of(
            new Case("data: {\"a\":1}\n\n", 1, 0, true),
            new Case("data:{\"a\":\"}\\\"{\"}\r\n\r\n", 1, 0, true),
            new Case("event: x\rdata: {}\r\r", 1, 0, true),
            new Case("data: {\"a\":\ndata: 1}\n\n", 1, 0, true),
            new Case(": comment\n\ndata: {}\n\n: comment\n", 1, 0, true),
            new Case("id: 1\nretry: 2\n\n", 0, 0, true),
            new Case("database: {}\n\n", 0, 0, true),
            new Case("event: x\n\n", 0, 0, true),
            new Case("data: {}\n", 0, 9, true),
            new Case("data: {\"a", 0, 9, true),
            new Case("dat", 0, 0, true),
            new Case("data: [DON", 0, 10, true),
            new Case("data: xx", 0, 8, false),
            new Case("data: {}{", 0, 9, false),
            new Case("data: {\"a\ndata: b\"}\n\n", 0, 0, true),
            new Case("data: {}}\n\n", 0, 0, true),
            new Case("data: xx\n\n", 0, 0, true),
            new Case("data: {\"a\":1\n\n", 0, 0, true));

    private static EventScanner scan(Dialect dialect, String text) {
        EventScanner scanner = new EventScanner(dialect);
        scanner.scan(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return scanner;
    }

    @Test
    public void countsSoundEventsAndTheBytesOfOneThatHasBegun() {
        for (Case expected : CASES) {
            EventScanner scanner = scan(Dialect.CHAT, expected.text());

            assertEquals(expected.text(), expected.completed(), scanner.completedEvents());
            assertEquals(expected.text(), expected.partialBytes(), scanner.partialEventBytes());
            assertEquals(expected.text(), expected.isSound(), scanner.isPartialEventSound());
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

    @Test
    public void eventWithOtherDataEndsWithoutBeingSound() {
        EventScanner scanner = scan(Dialect.CHAT, "data: xx\n\n");
        assertTrue(scanner.hasEventEnd());
        assertEquals(0, scanner.completedEvents());

        assertFalse(scan(Dialect.CHAT, ": comment\n\n").hasEventEnd());
    }
}
