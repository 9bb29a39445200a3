package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class SseParserTest {
    /** The first collection frees what nothing refers to; the others are for collectors that put it off. */
    private static final int MAX_COLLECTIONS = 10;

    /** A stream and the events in it. */
    private record Case(String stream, List<SseParser.Event> events) {}

    private static Case of(String stream, SseParser.Event... events) {
        return new Case(stream, List.of(events));
    }

    private static SseParser.Event data(String data) {
        return new SseParser.Event("", data);
    }

    private static SseParser.Event named(String name, String data) {
        return new SseParser.Event(name, data);
    }

    private static final List<Case> CASES = List.of(
            of("data: a\n\n", data("a")),
            of("data:a\n\n", data("a")),
            of("data:  a\n\n", data(" a")),
            of("event: e\r\ndata: a\r\n\r\n", named("e", "a")),
            of("data: a\r\rdata: b\r\r", data("a"), data("b")),
            of("data: a\ndata: b\ndata\n\n", data("a\nb\n")),
            of(": comment\ndata: a\nid: 4\nretry: 3\n\n", data("a")),
            of("event: e\n\ndata: a\n\n", data("a")),
            of("data: a\n"),
            of("data: \u00e9\u4e2d\n\n", data("\u00e9\u4e2d")),
            of("data: a\n\n\n\ndata: b\n\n", data("a"), data("b")),
            of(""));

    private static List<SseParser.Event> parse(byte[] stream, int chunkSize) throws IOException {
        SseParser parser = new SseParser();
        List<SseParser.Event> events = new ArrayList<>();
        for (int at = 0; at < stream.length; at += chunkSize) {
            events.addAll(parser.feed(ByteBuffer.wrap(stream, at, Math.min(chunkSize, stream.length - at))));
        }
        return events;
    }

    @Test
    public void eventsAreParsedFromChunksOfAnySize() throws IOException {
        for (Case row : CASES) {
            for (int chunkSize : new int[] {1, 3, 1000}) {
                List<SseParser.Event> events = parse(row.stream().getBytes(StandardCharsets.UTF_8), chunkSize);

                assertEquals(row.stream(), row.events(), events);
            }
        }
    }

    @Test
    public void eventBeyondSizeLimitIsRejected() {
        ByteBuffer endless = ByteBuffer.wrap(new byte[300_000]);

        assertThrows(MalformedResponseBodyException.class, () -> new SseParser().feed(endless));
    }

    /** A parser lives as long as its stream, so what it retains counts once for each open stream. */
    @Test
    public void eventIsNotRetainedAfterItWasReturned() throws IOException {
        SseParser parser = new SseParser();
        WeakReference<SseParser.Event> event =
                new WeakReference<>(feed(parser, "data: a\n\n").get(0));

        for (int i = 0; i < MAX_COLLECTIONS && event.get() != null; i++) {
            System.gc();
        }

        assertNull("the parser retains the event", event.get());
        assertEquals(List.of(data("b")), feed(parser, "data: b\n\n"));
    }

    private static List<SseParser.Event> feed(SseParser parser, String text) throws IOException {
        return parser.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
