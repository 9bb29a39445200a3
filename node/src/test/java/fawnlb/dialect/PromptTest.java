package fawnlb.dialect;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.Test;

public class PromptTest {
    private static final String CHAT = "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":["
            + "{\"role\":\"system\",\"content\":\"S\"},{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop\":[\"x\"],"
            + "\"stream_options\":{\"include_usage\":true},\"user\":\"u1\"}";
    private static final String MESSAGES =
            "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"system\":\"S\",\"messages\":["
                    + "{\"role\":\"user\",\"content\":\"U\"}],\"temperature\":0.5,\"stop_sequences\":[\"x\"],"
                    + "\"metadata\":{\"user_id\":\"u1\"}}";
    private static final String[][] BAD = {
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
    public void eachDialectBecomesTheOther() throws Prompt.Bad {
        for (Dialect from : Dialect.values()) {
            Prompt prompt = Prompt.read(from, bytes(from == Dialect.CHAT ? CHAT : MESSAGES));
            assertEquals(MESSAGES, new String(prompt.write(Dialect.MESSAGES), StandardCharsets.UTF_8));
            assertEquals(Prompt.read(Dialect.CHAT, prompt.write(Dialect.CHAT)), Prompt.read(Dialect.CHAT, bytes(CHAT)));
        }
    }

    @Test
    public void textPartsAreJoined() throws Prompt.Bad {
        Prompt prompt = Prompt.read(
                Dialect.MESSAGES,
                bytes(
                        "{\"model\":\"m\",\"max_tokens\":1,\"system\":[{\"type\":\"text\","
                                + "\"text\":\"a\"},{\"type\":\"text\",\"text\":\"b\"}],\"messages\":[{\"role\":\"user\",\"content\":\"cdefg\"}]}"));
        assertEquals("ab", prompt.system());
        assertEquals(2, prompt.promptTokens());
    }

    @Test
    public void whatIsWrongIsNamed() {
        for (String[] row : BAD) {
            String message = assertThrows(
                            row[1], Prompt.Bad.class, () -> Prompt.read(Dialect.valueOf(row[0]), bytes(row[1])))
                    .getMessage();
            assertEquals(message, true, message.contains(row[2]));
        }
    }
}
