package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

    private static final int ANY_CHUNK_SIZE = 9;

    /** A part of a response in one dialect. */
    private record Response(Dialect dialect, String text) {}

    private static final List<Response> STREAMS =
            List.of(new Response(Dialect.CHAT, CHAT), new Response(Dialect.MESSAGES, MESSAGES));

    private static String translate(ResponseTranslator translator, String response, int chunkSize) throws IOException {
        byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
        StringBuilder translated = new StringBuilder();
        for (int at = 0; at < bytes.length; at += chunkSize) {
            ByteBuffer chunk = ByteBuffer.wrap(bytes, at, Math.min(chunkSize, bytes.length - at));
            translated.append(StandardCharsets.UTF_8.decode(translator.feed(chunk)));
        }
        return translated.toString();
    }

    private static String translateBody(ResponseTranslator translator, String body) throws IOException {
        translate(translator, body, ANY_CHUNK_SIZE);
        return StandardCharsets.UTF_8.decode(translator.finish()).toString();
    }

    /** Returns the names of a stream's events in their order. */
    private static String eventNames(String stream) {
        StringBuilder names = new StringBuilder();
        stream.lines().forEach(line -> names.append(line.startsWith("event: ") ? line.substring(7) + ' ' : ""));
        return names.toString().trim();
    }

    private static void assertContains(String text, String... parts) {
        for (String part : parts) {
            assertTrue(text, text.contains(part));
        }
    }

    @Test
    public void chatStreamIsTranslatedToMessagesIncrementally() throws IOException {
        for (int chunkSize : new int[] {1, 5, 10_000}) {
            ResponseTranslator translator = ResponseTranslator.forStream(Dialect.CHAT, Dialect.MESSAGES);

            String translated = translate(translator, CHAT, chunkSize);
            translator.finish();

            assertEquals(
                    "message_start content_block_start content_block_delta content_block_delta content_block_stop "
                            + "message_delta message_stop",
                    eventNames(translated));
            assertContains(
                    translated,
                    "\"text\":\"He\"",
                    "\"stop_reason\":\"max_tokens\"",
                    "\"output_tokens\":2",
                    "\"cache_read_input_tokens\":4");
            assertEquals(11, translator.totalTokens());
            assertEquals(0, translator.unrecognizedEvents());
        }
    }

    @Test
    public void messagesStreamIsTranslatedToChatIncrementally() throws IOException {
        for (int chunkSize : new int[] {1, 5, 10_000}) {
            ResponseTranslator translator = ResponseTranslator.forStream(Dialect.MESSAGES, Dialect.CHAT);

            String translated = translate(translator, MESSAGES, chunkSize);
            translator.finish();

            assertContains(translated, "\"content\":\"Hello\"", "\"finish_reason\":\"length\"", "\"prompt_tokens\":9");
            assertTrue(translated, translated.endsWith("data: [DONE]\n\n"));
            assertEquals(0, translator.unrecognizedEvents());
        }
    }

    @Test
    public void unrecognizedMessagesEventsAreSkippedAndCounted() throws IOException {
        String unrecognized = "event: sparkle\ndata: {{{\n\ndata: 7\n\nevent: ping\ndata: none\n\n"
                + "event: content_block_delta\ndata: {\"delta\":{\"type\":\"thinking_delta\"}}\n\n";
        String expected =
                translate(ResponseTranslator.forStream(Dialect.MESSAGES, Dialect.CHAT), MESSAGES, MESSAGES.length());
        ResponseTranslator translator = ResponseTranslator.forStream(Dialect.MESSAGES, Dialect.CHAT);

        String translated = translate(translator, unrecognized + MESSAGES, 3);

        assertEquals(expected, translated);
        assertEquals(3, translator.unrecognizedEvents());
    }

    @Test
    public void unrecognizedChatEventsAreCounted() throws IOException {
        String unrecognized = "event: sparkle\ndata: x\n\ndata: {\"object\":\"new\"}\n\ndata: [1]\n\ndata: text\n\n";
        ResponseTranslator translator = ResponseTranslator.forStream(Dialect.CHAT, Dialect.MESSAGES);

        translate(translator, unrecognized + CHAT, 4);

        assertEquals(4, translator.unrecognizedEvents());
    }

    @Test
    public void nothingBehindTheFinalEventIsRead() throws IOException {
        for (Response stream : STREAMS) {
            ResponseTranslator translator = ResponseTranslator.forStream(
                    stream.dialect(), stream.dialect().other());

            translate(translator, stream.text() + "data: {\"choices\":[\n\n", ANY_CHUNK_SIZE);
            translator.finish();
        }
    }

    @Test
    public void truncatedStreamNeverEmitsFinalEvent() throws IOException {
        for (Response stream : STREAMS) {
            for (int end = 0; end < stream.text().length() - 1; end += 7) {
                ResponseTranslator translator = ResponseTranslator.forStream(
                        stream.dialect(), stream.dialect().other());

                String translated = translate(translator, stream.text().substring(0, end), 50);

                assertFalse(translated, translated.contains("message_stop") || translated.contains("[DONE]"));
                assertThrows(MalformedResponseBodyException.class, translator::finish);
            }
        }
    }

    @Test
    public void errorEventIsForwardedWithoutFinalEvent() throws IOException {
        List<Response> errors = List.of(
                new Response(
                        Dialect.MESSAGES,
                        "event: error\ndata: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"),
                new Response(Dialect.CHAT, "data: {\"error\":{\"type\":\"overloaded_error\",\"message\":\"b\"}}\n\n"));
        for (Response error : errors) {
            ResponseTranslator translator = ResponseTranslator.forStream(
                    error.dialect(), error.dialect().other());

            String translated = translate(translator, error.text(), 100);

            assertContains(translated, "overloaded_error");
            assertThrows(MalformedResponseBodyException.class, translator::finish);
        }
    }

    @Test
    public void malformedKnownEventsAreRejected() {
        List<Response> malformed = List.of(
                new Response(Dialect.CHAT, "data: {\"choices\":[\n\n"),
                new Response(Dialect.MESSAGES, "data: {\"type\":\"message_start\n\n"),
                new Response(Dialect.MESSAGES, "event: message_start\ndata: nonsense\n\n"));
        for (Response response : malformed) {
            ResponseTranslator translator = ResponseTranslator.forStream(response.dialect(), Dialect.CHAT);

            assertThrows(MalformedJsonException.class, () -> translate(translator, response.text(), ANY_CHUNK_SIZE));
        }
    }

    @Test
    public void chatBodyIsTranslatedToMessages() throws IOException {
        String body = "{\"id\":\"c\",\"model\":\"m\",\"choices\":[{\"message\":{\"content\":\"Hi\"},"
                + "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}";

        String translated = translateBody(ResponseTranslator.forBody(Dialect.CHAT, Dialect.MESSAGES), body);

        assertEquals(
                "{\"id\":\"c\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"m\",\"content\":[{\"type\":\"text\","
                        + "\"text\":\"Hi\"}],\"stop_reason\":\"end_turn\",\"stop_sequence\":null,\"usage\":{\"input_tokens\":3,"
                        + "\"output_tokens\":1,\"cache_read_input_tokens\":0}}",
                translated);
    }

    @Test
    public void messagesBodyIsTranslatedToChat() throws IOException {
        String body = "{\"type\":\"message\",\"id\":\"m\",\"content\":[{\"type\":\"text\",\"text\":\"Hi\"}],"
                + "\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":3,\"output_tokens\":1}}";

        String translated = translateBody(ResponseTranslator.forBody(Dialect.MESSAGES, Dialect.CHAT), body);

        assertEquals(
                "{\"id\":\"m\",\"object\":\"chat.completion\",\"model\":\"\",\"choices\":[{\"index\":0,\"message\":"
                        + "{\"role\":\"assistant\",\"content\":\"Hi\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,"
                        + "\"completion_tokens\":1,\"total_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":0}}}",
                translated);
    }

    @Test
    public void emptyBodyIsRejected() {
        ResponseTranslator translator = ResponseTranslator.forBody(Dialect.CHAT, Dialect.MESSAGES);

        assertThrows(MalformedJsonException.class, translator::finish);
    }

    @Test
    public void errorBodyKeepsMessageOfBackend() throws IOException {
        String translated = translateBody(
                ResponseTranslator.forError(Dialect.MESSAGES, 400), "{\"error\":{\"message\":\"prompt is too long\"}}");

        assertEquals(ErrorBody.json(Dialect.MESSAGES, 400, "prompt is too long"), translated);
    }

    @Test
    public void errorBodyWithoutMessageGetsDefaultMessage() throws IOException {
        String translated = translateBody(ResponseTranslator.forError(Dialect.CHAT, 400), "not JSON");

        assertEquals(ErrorBody.json(Dialect.CHAT, 400, "the target refused the request"), translated);
    }
}
