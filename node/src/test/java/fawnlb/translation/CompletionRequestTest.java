package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import fawnlb.http.InvalidRequestException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

public class CompletionRequestTest {
    private static final String CHAT = "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":["
            + "{\"role\":\"system\",\"content\":\"S\"},{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop\":[\"x\"],"
            + "\"stream_options\":{\"include_usage\":true},\"user\":\"u1\"}";
    private static final String MESSAGES =
            "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"system\":\"S\",\"messages\":["
                    + "{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop_sequences\":[\"x\"],"
                    + "\"metadata\":{\"user_id\":\"u1\"}}";

    /** A request's body and a word of the message that rejects it. */
    private record Invalid(Dialect dialect, String body, String expectedWord) {}

    private static Invalid chat(String body, String expectedWord) {
        return new Invalid(Dialect.CHAT, body, expectedWord);
    }

    private static Invalid messages(String body, String expectedWord) {
        return new Invalid(Dialect.MESSAGES, body, expectedWord);
    }

    private static final List<Invalid> INVALID_REQUESTS = List.of(
            chat("", "JSON"),
            chat("[]", "JSON"),
            chat("{} {}", "JSON"),
            chat("{", "JSON"),
            chat("{\"" + "n".repeat(600) + "\":[1]}", "JSON"),
            chat("[".repeat(40), "JSON"),
            chat("{\"x\":[" + "1,".repeat(30_000) + "1]}", "JSON"),
            chat("{\"messages\":[]}", "model"),
            chat("{\"model\":\"m\"}", "messages"),
            chat("{\"model\":\"m\",\"messages\":[{\"role\":\"x\",\"content\":\"\"}]}", "role"),
            chat("{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}", "content"),
            chat(
                    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"image\"}]}]}",
                    "only text"),
            chat(
                    "{\"model\":\"m\",\"max_tokens\":0,\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}",
                    "max_tokens"),
            messages("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}", "max_tokens"),
            messages(
                    "{\"model\":\"m\",\"max_tokens\":1,\"messages\":[{\"role\":\"system\",\"content\":\"\"}]}", "role"),
            messages(
                    "{\"model\":\"m\",\"max_tokens\":1,\"stream\":7,\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}",
                    "stream"));

    private static CompletionRequest decode(Dialect dialect, String body) throws InvalidRequestException {
        return CompletionRequest.decode(dialect, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void requestIsTranslatedBetweenDialects() throws InvalidRequestException {
        for (Dialect from : Dialect.values()) {
            CompletionRequest request = decode(from, from == Dialect.CHAT ? CHAT : MESSAGES);

            String asMessages = new String(request.encode(Dialect.MESSAGES), StandardCharsets.UTF_8);
            CompletionRequest asChat = CompletionRequest.decode(Dialect.CHAT, request.encode(Dialect.CHAT));

            assertEquals(MESSAGES, asMessages);
            assertEquals(decode(Dialect.CHAT, CHAT), asChat);
        }
    }

    /** Guards against translated bodies of three times the size, as two escapes for each such character made them. */
    @Test
    public void charactersBeyondTheBasicPlaneKeepTheirSize() throws InvalidRequestException {
        String symbols = "\uD83D\uDFE6".repeat(1000);
        String body =
                "{\"model\":\"m\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"" + symbols + "\"}]}";

        byte[] translated = decode(Dialect.CHAT, body).encode(Dialect.MESSAGES);

        assertTrue(new String(translated, StandardCharsets.UTF_8).contains(symbols));
        assertTrue(translated.length + " bytes", translated.length < 4 * 1000 + 200);
    }

    @Test
    public void textPartsAreConcatenated() throws InvalidRequestException {
        String body = "{\"model\":\"m\",\"max_tokens\":1,\"system\":[{\"type\":\"text\",\"text\":\"a\"},"
                + "{\"type\":\"text\",\"text\":\"b\"}],\"messages\":[{\"role\":\"user\",\"content\":\"cdefg\"}]}";

        CompletionRequest request = decode(Dialect.MESSAGES, body);

        assertEquals("ab", request.system());
        assertEquals("seven characters, rounded up", 2, request.promptTokens());
    }

    @Test
    public void promptTokensAreEstimatedFromCharacters() throws InvalidRequestException {
        String body = "{\"model\":\"m\",\"max_tokens\":1,\"system\":\"ab\","
                + "\"messages\":[{\"role\":\"user\",\"content\":\"cdefg\"}]}";

        CompletionRequest request = decode(Dialect.MESSAGES, body);

        assertEquals("seven characters, rounded up", 2, request.promptTokens());
        assertEquals("two characters, rounded up", 1, request.systemTokens());
    }

    @Test
    public void invalidRequestIsRejectedWithFieldName() {
        for (Invalid invalid : INVALID_REQUESTS) {
            String message = assertThrows(
                            invalid.body(),
                            InvalidRequestException.class,
                            () -> decode(invalid.dialect(), invalid.body()))
                    .getMessage();

            assertTrue(message, message.contains(invalid.expectedWord()));
        }
    }
}
