package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class ResponseTranslatorTest {
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

    private static String translate(ResponseTranslator translation, String in, int chunkSize) throws IOException {
        byte[] bytes = in.getBytes(StandardCharsets.UTF_8);
        StringBuilder out = new StringBuilder();
        for (int at = 0; at < bytes.length; at += chunkSize) {
            ByteBuffer part = ByteBuffer.wrap(bytes, at, Math.min(chunkSize, bytes.length - at));
            out.append(StandardCharsets.UTF_8.decode(translation.feed(part)));
        }
        return out.toString();
    }

    /** The names of messages events, or the gist of chat chunks. */
    private static String eventNames(String events) {
        StringBuilder out = new StringBuilder();
        events.lines().forEach(line -> out.append(line.startsWith("event: ") ? line.substring(7) + ' ' : ""));
        return out.toString().trim();
    }

    @Test
    public void chatStreamIsTranslatedToMessagesIncrementally() throws IOException {
        for (int chunkSize : new int[] {1, 5, 10_000}) {
            ResponseTranslator translation = new ResponseTranslator(Dialect.CHAT, Dialect.MESSAGES, true);
            String out = translate(translation, CHAT, chunkSize);
            assertEquals(
                    "message_start content_block_start content_block_delta content_block_delta content_block_stop "
                            + "message_delta message_stop",
                    eventNames(out));
            assertTrue(
                    out,
                    out.contains("\"text\":\"He\"")
                            && out.contains("\"stop_reason\":\"max_tokens\"")
                            && out.contains("\"output_tokens\":2")
                            && out.contains("\"cache_read_input_tokens\":4"));
            translation.finish();
            assertEquals(11, translation.totalTokens());
            assertEquals(0, translation.unrecognizedEvents());
        }
    }

    @Test
    public void messagesStreamIsTranslatedToChatIncrementally() throws IOException {
        for (int chunkSize : new int[] {1, 5, 10_000}) {
            ResponseTranslator translation = new ResponseTranslator(Dialect.MESSAGES, Dialect.CHAT, true);
            String out = translate(translation, MESSAGES, chunkSize);
            assertTrue(
                    out,
                    out.contains("\"content\":\"Hello\"")
                            && out.contains("\"finish_reason\":\"length\"")
                            && out.contains("\"prompt_tokens\":9")
                            && out.endsWith("data: [DONE]\n\n"));
            translation.finish();
            assertEquals(0, translation.unrecognizedEvents());
        }
    }

    @Test
    public void unrecognizedEventsAreSkippedAndCounted() throws IOException {
        String odd =
                "event: sparkle\ndata: {{{\n\nevent: content_block_delta\ndata: {\"delta\":{\"type\":\"thinking_delta\"}}\n\n";
        ResponseTranslator messages = new ResponseTranslator(Dialect.MESSAGES, Dialect.CHAT, true);
        String plain = translate(new ResponseTranslator(Dialect.MESSAGES, Dialect.CHAT, true), MESSAGES, 9999);
        assertEquals(plain, translate(messages, odd + MESSAGES, 3));
        assertEquals(2, messages.unrecognizedEvents());
        ResponseTranslator chat = new ResponseTranslator(Dialect.CHAT, Dialect.MESSAGES, true);
        translate(chat, "event: sparkle\ndata: x\n\ndata: {\"object\":\"new\"}\n\n" + CHAT, 4);
        assertEquals(2, chat.unrecognizedEvents());
    }

    @Test
    public void truncatedStreamNeverEmitsFinalEvent() throws IOException {
        for (Dialect from : Dialect.values()) {
            Dialect to = from == Dialect.CHAT ? Dialect.MESSAGES : Dialect.CHAT;
            String all = from == Dialect.CHAT ? CHAT : MESSAGES;
            for (int end = 0; end < all.length() - 1; end += 7) {
                ResponseTranslator translation = new ResponseTranslator(from, to, true);
                String out = translate(translation, all.substring(0, end), 50);
                assertFalse(out, out.contains("message_stop") || out.contains("[DONE]"));
                assertThrows(IOException.class, translation::finish);
            }
        }
    }

    @Test
    public void errorEventIsForwardedWithoutFinalEvent() throws IOException {
        String[][] cases = {
            {"MESSAGES", "event: error\ndata: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"},
            {"CHAT", "data: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"}
        };
        for (String[] row : cases) {
            Dialect from = Dialect.valueOf(row[0]);
            ResponseTranslator translation =
                    new ResponseTranslator(from, from == Dialect.CHAT ? Dialect.MESSAGES : Dialect.CHAT, true);
            assertTrue(translate(translation, row[1], 100).contains("overloaded_error"));
            assertThrows(IOException.class, translation::finish);
        }
    }

    @Test
    public void malformedKnownEventsAreRejected() {
        for (String[] row : new String[][] {
            {"CHAT", "data: {\"choices\":[\n\n"},
            {"CHAT", "data: [1]\n\n"},
            {"MESSAGES", "event: message_start\ndata: nonsense\n\n"}
        }) {
            assertThrows(
                    IOException.class,
                    () -> translate(new ResponseTranslator(Dialect.valueOf(row[0]), Dialect.CHAT, true), row[1], 9));
        }
    }

    @Test
    public void completeResponsesAreTranslated() throws IOException {
        ResponseTranslator chat = new ResponseTranslator(Dialect.CHAT, Dialect.MESSAGES, false);
        translate(
                chat,
                "{\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"message\":{\"content\":\"Hi\"},\"finish_reason\":\"stop\"}],"
                        + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}",
                8);
        assertEquals(
                "{\"id\":\"c\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"m\",\"content\":[{\"type\":\"text\","
                        + "\"text\":\"Hi\"}],\"stop_reason\":\"end_turn\",\"stop_sequence\":null,\"usage\":{\"input_tokens\":3,"
                        + "\"output_tokens\":1,\"cache_read_input_tokens\":0}}",
                StandardCharsets.UTF_8.decode(chat.finish()).toString());
        ResponseTranslator messages = new ResponseTranslator(Dialect.MESSAGES, Dialect.CHAT, false);
        translate(
                messages,
                "{\"type\":\"message\",\"id\":\"m\",\"content\":[{\"type\":\"text\",\"text\":\"Hi\"}],"
                        + "\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":3,\"output_tokens\":1}}",
                8);
        assertTrue(StandardCharsets.UTF_8.decode(messages.finish()).toString().contains("\"content\":\"Hi\""));
        assertThrows(IOException.class, new ResponseTranslator(Dialect.CHAT, Dialect.MESSAGES, false)::finish);
    }
}
