package fawnlb.dialect;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A request in neither dialect's words. Numbers that are only passed on stay text, null if missing. */
public record Prompt(
        String model,
        long maxTokens,
        boolean stream,
        String system,
        List<Turn> turns,
        String temperature,
        String topP,
        List<String> stops,
        String user) {
    private static final long DEFAULT_MAX_TOKENS = 1024;
    private static final long MAX_TOKENS = 1_000_000;

    /** One message of the conversation. */
    public record Turn(String role, String text) {}

    /** A request that its dialect does not allow, or that can't be said in the other one. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        Bad(String message) {
            super(message);
        }
    }

    /** Four characters make a token. */
    public long promptTokens() {
        return (system.length()
                        + turns.stream().mapToLong(turn -> turn.text().length()).sum()
                        + 3)
                / 4;
    }

    public static Prompt read(Dialect dialect, byte[] body) throws Bad {
        Fields in;
        try {
            in = Fields.parse(body);
        } catch (IOException e) {
            throw new Bad("the body is not a JSON object");
        }
        String model = in.text("model");
        if (model == null || model.isEmpty()) {
            throw new Bad("model: a name is required");
        }
        if (in.size("messages") == 0) {
            throw new Bad("messages: at least one is required");
        }
        if (in.size("tools") > 0) {
            throw new Bad("tools: not served here");
        }
        StringBuilder system =
                new StringBuilder(dialect == Dialect.MESSAGES && in.has("system") ? content(in, "system") : "");
        List<Turn> turns = new ArrayList<>();
        for (int i = 0; i < in.size("messages"); i++) {
            String at = "messages." + i + '.';
            String role = in.text(at + "role", "");
            String text = content(in, at + "content");
            switch (role) {
                case "user", "assistant" -> turns.add(new Turn(role, text));
                case "system", "developer" -> {
                    if (dialect == Dialect.MESSAGES) {
                        throw new Bad(at + "role: system stands beside the messages");
                    }
                    system.append(system.isEmpty() ? "" : "\n\n").append(text);
                }
                default -> throw new Bad(at + "role: expected user or assistant");
            }
        }
        return new Prompt(
                model,
                maxTokens(dialect, in),
                truth(in, "stream"),
                system.toString(),
                List.copyOf(turns),
                number(in, "temperature"),
                number(in, "top_p"),
                stops(in, dialect == Dialect.CHAT ? "stop" : "stop_sequences"),
                in.text(dialect == Dialect.CHAT ? "user" : "metadata.user_id"));
    }

    private static String content(Fields in, String path) throws Bad {
        if (in.text(path) != null) {
            return in.text(path);
        }
        if (!in.has(path)) {
            throw new Bad(path + ": required");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < in.size(path); i++) {
            String at = path + '.' + i;
            if (!in.text(at + ".type", "").equals("text") || in.text(at + ".text") == null) {
                throw new Bad(at + ".type: only text is served here");
            }
            text.append(in.text(at + ".text"));
        }
        return text.toString();
    }

    private static long maxTokens(Dialect dialect, Fields in) throws Bad {
        String name = in.has("max_tokens") || dialect == Dialect.MESSAGES ? "max_tokens" : "max_completion_tokens";
        String text = in.text(name);
        if (text == null && dialect == Dialect.CHAT) {
            return DEFAULT_MAX_TOKENS;
        }
        long value = in.whole(name);
        if (text == null || value < 1 || value > MAX_TOKENS) {
            throw new Bad(name + ": a whole number from 1 to " + MAX_TOKENS + " is required");
        }
        return value;
    }

    private static boolean truth(Fields in, String name) throws Bad {
        String text = in.text(name, "false");
        if (!text.equals("true") && !text.equals("false")) {
            throw new Bad(name + ": expected true or false");
        }
        return text.equals("true");
    }

    private static String number(Fields in, String name) throws Bad {
        String text = in.text(name);
        if (text != null && !text.matches("[0-9]{1,3}(\\.[0-9]{1,17})?")) {
            throw new Bad(name + ": expected a number");
        }
        return text;
    }

    private static List<String> stops(Fields in, String name) {
        List<String> stops = new ArrayList<>();
        if (in.text(name) != null) {
            stops.add(in.text(name));
        }
        for (int i = 0; i < in.size(name); i++) {
            stops.add(in.text(name + '.' + i, ""));
        }
        return stops;
    }

    /** The request in a dialect's words. */
    public byte[] write(Dialect dialect) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = Fields.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("model", model);
            out.writeNumberField("max_tokens", maxTokens);
            out.writeBooleanField("stream", stream);
            if (dialect == Dialect.MESSAGES && !system.isEmpty()) {
                out.writeStringField("system", system);
            }
            out.writeArrayFieldStart("messages");
            if (dialect == Dialect.CHAT && !system.isEmpty()) {
                turn(out, "system", system);
            }
            for (Turn turn : turns) {
                turn(out, turn.role(), turn.text());
            }
            out.writeEndArray();
            number(out, "temperature", temperature);
            number(out, "top_p", topP);
            writeOptions(out, dialect);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private void writeOptions(JsonGenerator out, Dialect dialect) throws IOException {
        if (!stops.isEmpty()) {
            out.writeArrayFieldStart(dialect == Dialect.CHAT ? "stop" : "stop_sequences");
            for (String stop : stops) {
                out.writeString(stop);
            }
            out.writeEndArray();
        }
        if (dialect == Dialect.CHAT && stream) {
            out.writeObjectFieldStart("stream_options");
            out.writeBooleanField("include_usage", true);
            out.writeEndObject();
        }
        if (user != null && dialect == Dialect.CHAT) {
            out.writeStringField("user", user);
        } else if (user != null) {
            out.writeObjectFieldStart("metadata");
            out.writeStringField("user_id", user);
            out.writeEndObject();
        }
    }

    private static void turn(JsonGenerator out, String role, String text) throws IOException {
        out.writeStartObject();
        out.writeStringField("role", role);
        out.writeStringField("content", text);
        out.writeEndObject();
    }

    private static void number(JsonGenerator out, String name, String text) throws IOException {
        if (text != null) {
            out.writeFieldName(name);
            out.writeNumber(text);
        }
    }
}
