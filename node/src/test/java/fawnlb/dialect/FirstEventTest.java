package fawnlb.dialect;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class FirstEventTest {
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
    public void nothingIsShownBeforeTheFirstEventIsWholeAndAllOfItThen() throws IOException {
        for (String[] row : CASES) {
            FirstEvent opening = new FirstEvent();
            for (char c : row[0].toCharArray()) {
                assertEquals(row[0], "", text(opening.feed(bytes(String.valueOf(c)))));
            }
            assertEquals(row[0].length(), opening.buffered());
            assertEquals(row[0], row[0] + row[1], text(opening.feed(bytes(row[1]))));
            assertEquals(0, opening.buffered());
            assertEquals("half an event later", "data: c", text(opening.feed(bytes("data: c"))));
        }
    }

    @Test
    public void whatIsKeptCanBeTakenBeforeTheEventIsWhole() throws IOException {
        FirstEvent opening = new FirstEvent();
        assertEquals("", text(opening.release()));
        opening = new FirstEvent();
        opening.feed(bytes("data: ha"));
        assertEquals("data: ha", text(opening.release()));
        assertEquals(0, opening.buffered());
        assertEquals("lf", text(opening.feed(bytes("lf"))));
    }

    @Test
    public void commentsWithoutEndAreAnError() throws IOException {
        FirstEvent opening = new FirstEvent();
        for (int i = 0; i < 256; i++) {
            opening.feed(bytes(":" + "x".repeat(1021) + "\n\n"));
        }
        assertThrows(IOException.class, () -> opening.feed(bytes(":\n\n")));
    }
}
