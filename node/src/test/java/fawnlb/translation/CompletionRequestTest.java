package fawnlb.translation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class CompletionRequestTest {
    private static final String CHAT = "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":["
            + "{\"role\":\"system\",\"content\":\"S\"},{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop\":[\"x\"],"
            + "\"stream_options\":{\"include_usage\":true},\"user\":\"u1\"}";
    private static final String MESSAGES =
            "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"system\":\"S\",\"messages\":["
                    + "{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop_sequences\":[\"x\"],"
                    + "\"metadata\":{\"user_id\":\"u1\"}}";
    private static final String[][] INVALID_REQUESTS = {
        {"CHAT", "", "JSON"},
        {"CHAT", "[]", "JSON"},
        {"CHAT", "{} {}", "JSON"},
        {"CHAT", "{", "JSON"},
        {"CHAT", "{\"" + "n".repeat(600) + "\":[1]}", "JSON"},
        {"CHAT", "[".repeat(40), "JSON"},
        {"CHAT", "{\"x\":[" + "1,".repeat(30_000) + "1]}", "JSON"},
        {"CHAT", "{\"messages\":[]}", "model"},
        {"CHAT", "{\"model\":\"m\"}", "messages"},
        {"CHAT", "{\"model\":\"m\",\"messages\":[{\"role\":\"x\",\"content\":\"\"}]}", "role"},
        {"CHAT", "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}", "content"},
        {"CHAT", "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"image\"}]}]}", "only text"
        },
        {"CHAT", "{\"model\":\"m\",\"max_tokens\":0,\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}", "max_tokens"
        },
        {"MESSAGES", "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}", "max_tokens"},
        {"MESSAGES", "{\"model\":\"m\",\"max_tokens\":1,\"messages\":[{\"role\":\"system\",\"content\":\"\"}]}", "role"
        },
        {
            "MESSAGES",
            "{\"model\":\"m\",\"max_tokens\":1,\"stream\":7,\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}",
            "stream"
        }
    };

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void requestIsTranslatedBetweenDialects() throws CompletionRequest.InvalidCompletionRequestException {
        for (Dialect from : Dialect.values()) {
            CompletionRequest request = CompletionRequest.decode(from, bytes(from == Dialect.CHAT ? CHAT : MESSAGES));
            assertEquals(MESSAGES, new String(request.encode(Dialect.MESSAGES), StandardCharsets.UTF_8));
            assertEquals(
                    CompletionRequest.decode(Dialect.CHAT, request.encode(Dialect.CHAT)),
                    CompletionRequest.decode(Dialect.CHAT, bytes(CHAT)));
        }
    }

    @Test
    public void textPartsAreConcatenated() throws CompletionRequest.InvalidCompletionRequestException {
        CompletionRequest request = CompletionRequest.decode(
                Dialect.MESSAGES,
                bytes(
                        "{\"model\":\"m\",\"max_tokens\":1,\"system\":[{\"type\":\"text\","
                                + "\"text\":\"a\"},{\"type\":\"text\",\"text\":\"b\"}],\"messages\":[{\"role\":\"user\",\"content\":\"cdefg\"}]}"));
        assertEquals("ab", request.system());
        assertEquals(2, request.promptTokens());
    }

    @Test
    public void invalidRequestIsRejectedWithFieldName() {
        for (String[] row : INVALID_REQUESTS) {
            String message = assertThrows(
                            row[1],
                            CompletionRequest.InvalidCompletionRequestException.class,
                            () -> CompletionRequest.decode(Dialect.valueOf(row[0]), bytes(row[1])))
                    .getMessage();
            assertEquals(message, true, message.contains(row[2]));
        }
    }
}
