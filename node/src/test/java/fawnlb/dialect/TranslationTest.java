package fawnlb.dialect;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class TranslationTest {
    private static final String CHAT =
            "data: {\"id\":\"c1\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"He\"},"
                    + "\"finish_reason\":null}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"llo\"},\"finish_reason\":\"length\"}]}\n\n"
                    + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
                    + "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n";
    private static final String MESSAGES =
            "event: message_start\ndata: {\"type\":\"message_start\",\"message\":{\"id\":\"m1\","
                    + "\"model\":\"m\",\"usage\":{\"input_tokens\":9,\"cache_read_input_tokens\":4}}}\n\n"
                    + "event: content_block_start\ndata: {\"type\":\"content_block_start\",\"index\":0,"
                    + "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}\n\nevent: ping\ndata: {\"type\":\"ping\"}\n\n"
                    + "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\ndata: \"index\":0,"
                    + "\"delta\":{\"type\":\"text_delta\",\"text\":\"Hello\"}}\n\n"
                    + "event: content_block_stop\ndata: {\"type\":\"content_block_stop\",\"index\":0}\n\n"
                    + "event: message_delta\ndata: {\"delta\":{\"stop_reason\":\"max_tokens\"},\"usage\":{\"output_tokens\":2}}\n\n"
                    + "event: message_stop\ndata: {\"type\":\"message_stop\"}\n\n";

    private static String run(Translation translation, String in, int piece) throws IOException {
        byte[] bytes = in.getBytes(StandardCharsets.UTF_8);
        StringBuilder out = new StringBuilder();
        for (int at = 0; at < bytes.length; at += piece) {
            ByteBuffer part = ByteBuffer.wrap(bytes, at, Math.min(piece, bytes.length - at));
            out.append(StandardCharsets.UTF_8.decode(translation.feed(part)));
        }
        return out.toString();
    }

    /** The names of messages events, or the gist of chat chunks. */
    private static String gist(String events) {
        StringBuilder out = new StringBuilder();
        events.lines().forEach(line -> out.append(line.startsWith("event: ") ? line.substring(7) + ' ' : ""));
        return out.toString().trim();
    }

    @Test
    public void chatBecomesMessagesAsItComes() throws IOException {
        for (int piece : new int[] {1, 5, 10_000}) {
            Translation translation = new Translation(Dialect.CHAT, Dialect.MESSAGES, true);
            String out = run(translation, CHAT, piece);
            assertEquals(
                    "message_start content_block_start content_block_delta content_block_delta content_block_stop "
                            + "message_delta message_stop",
                    gist(out));
            assertTrue(
                    out,
                    out.contains("\"text\":\"He\"")
                            && out.contains("\"stop_reason\":\"max_tokens\"")
                            && out.contains("\"output_tokens\":2")
                            && out.contains("\"cache_read_input_tokens\":4"));
            translation.finish();
            assertEquals(11, translation.tokens());
            assertEquals(0, translation.skipped());
        }
    }

    @Test
    public void messagesBecomeChatAsTheyCome() throws IOException {
        for (int piece : new int[] {1, 5, 10_000}) {
            Translation translation = new Translation(Dialect.MESSAGES, Dialect.CHAT, true);
            String out = run(translation, MESSAGES, piece);
            assertTrue(
                    out,
                    out.contains("\"content\":\"Hello\"")
                            && out.contains("\"finish_reason\":\"length\"")
                            && out.contains("\"prompt_tokens\":9")
                            && out.endsWith("data: [DONE]\n\n"));
            translation.finish();
            assertEquals(0, translation.skipped());
        }
    }

    @Test
    public void unknownEventsAreSkippedAndCounted() throws IOException {
        String odd =
                "event: sparkle\ndata: {{{\n\nevent: content_block_delta\ndata: {\"delta\":{\"type\":\"thinking_delta\"}}\n\n";
        Translation messages = new Translation(Dialect.MESSAGES, Dialect.CHAT, true);
        String plain = run(new Translation(Dialect.MESSAGES, Dialect.CHAT, true), MESSAGES, 9999);
        assertEquals(plain, run(messages, odd + MESSAGES, 3));
        assertEquals(2, messages.skipped());
        Translation chat = new Translation(Dialect.CHAT, Dialect.MESSAGES, true);
        run(chat, "event: sparkle\ndata: x\n\ndata: {\"object\":\"new\"}\n\n" + CHAT, 4);
        assertEquals(2, chat.skipped());
    }

    @Test
    public void aCutStreamNeverLooksFinished() throws IOException {
        for (Dialect from : Dialect.values()) {
            Dialect to = from == Dialect.CHAT ? Dialect.MESSAGES : Dialect.CHAT;
            String all = from == Dialect.CHAT ? CHAT : MESSAGES;
            for (int end = 0; end < all.length() - 1; end += 7) {
                Translation translation = new Translation(from, to, true);
                String out = run(translation, all.substring(0, end), 50);
                assertFalse(out, out.contains("message_stop") || out.contains("[DONE]"));
                assertThrows(IOException.class, translation::finish);
            }
        }
    }

    @Test
    public void anErrorIsPassedOnAndIsNoEnd() throws IOException {
        String[][] cases = {
            {"MESSAGES", "event: error\ndata: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"},
            {"CHAT", "data: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"}
        };
        for (String[] row : cases) {
            Dialect from = Dialect.valueOf(row[0]);
            Translation translation =
                    new Translation(from, from == Dialect.CHAT ? Dialect.MESSAGES : Dialect.CHAT, true);
            assertTrue(run(translation, row[1], 100).contains("overloaded_error"));
            assertThrows(IOException.class, translation::finish);
        }
    }

    @Test
    public void knownEventsThatCannotBeReadAreErrors() {
        for (String[] row : new String[][] {
            {"CHAT", "data: {\"choices\":[\n\n"},
            {"CHAT", "data: [1]\n\n"},
            {"MESSAGES", "event: message_start\ndata: nonsense\n\n"}
        }) {
            assertThrows(
                    IOException.class,
                    () -> run(new Translation(Dialect.valueOf(row[0]), Dialect.CHAT, true), row[1], 9));
        }
    }

    @Test
    public void wholeAnswersAreTranslated() throws IOException {
        Translation chat = new Translation(Dialect.CHAT, Dialect.MESSAGES, false);
        run(
                chat,
                "{\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"message\":{\"content\":\"Hi\"},\"finish_reason\":\"stop\"}],"
                        + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}",
                8);
        assertEquals(
                "{\"id\":\"c\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"m\",\"content\":[{\"type\":\"text\","
                        + "\"text\":\"Hi\"}],\"stop_reason\":\"end_turn\",\"stop_sequence\":null,\"usage\":{\"input_tokens\":3,"
                        + "\"output_tokens\":1,\"cache_read_input_tokens\":0}}",
                StandardCharsets.UTF_8.decode(chat.finish()).toString());
        Translation messages = new Translation(Dialect.MESSAGES, Dialect.CHAT, false);
        run(
                messages,
                "{\"type\":\"message\",\"id\":\"m\",\"content\":[{\"type\":\"text\",\"text\":\"Hi\"}],"
                        + "\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":3,\"output_tokens\":1}}",
                8);
        assertTrue(StandardCharsets.UTF_8.decode(messages.finish()).toString().contains("\"content\":\"Hi\""));
        assertThrows(IOException.class, new Translation(Dialect.CHAT, Dialect.MESSAGES, false)::finish);
    }
}
