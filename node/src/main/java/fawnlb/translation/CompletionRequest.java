package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A request in neither dialect's words. Numbers that are only passed on stay text, null if missing. */
public record CompletionRequest(
        String model,
        long maxTokens,
        boolean stream,
        String system,
        List<Message> messages,
        String temperature,
        String topP,
        List<String> stopSequences,
        String user) {
    private static final long DEFAULT_MAX_TOKENS = 1024;
    private static final long MAX_TOKENS = 1_000_000;

    /** One message of the conversation. */
    public record Message(String role, String text) {}

    /** A request that its dialect does not allow, or that can't be said in the other one. */
    public static final class InvalidCompletionRequestException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidCompletionRequestException(String message) {
            super(message);
        }
    }

    /** Four characters make a token. */
    public long promptTokens() {
        return (system.length()
                        + messages.stream()
                                .mapToLong(turn -> turn.text().length())
                                .sum()
                        + 3)
                / 4;
    }

    public static CompletionRequest decode(Dialect dialect, byte[] body) throws InvalidCompletionRequestException {
        FlatJson json;
        try {
            json = FlatJson.parse(body);
        } catch (IOException e) {
            throw new InvalidCompletionRequestException("the body is not a JSON object");
        }
        String model = json.text("model");
        if (model == null || model.isEmpty()) {
            throw new InvalidCompletionRequestException("model: a name is required");
        }
        if (json.arraySize("messages") == 0) {
            throw new InvalidCompletionRequestException("messages: at least one is required");
        }
        if (json.arraySize("tools") > 0) {
            throw new InvalidCompletionRequestException("tools: not served here");
        }
        StringBuilder system =
                new StringBuilder(dialect == Dialect.MESSAGES && json.has("system") ? readText(json, "system") : "");
        List<Message> turns = new ArrayList<>();
        for (int i = 0; i < json.arraySize("messages"); i++) {
            String path = "messages." + i + '.';
            String role = json.text(path + "role", "");
            String text = readText(json, path + "content");
            switch (role) {
                case "user", "assistant" -> turns.add(new Message(role, text));
                case "system", "developer" -> {
                    if (dialect == Dialect.MESSAGES) {
                        throw new InvalidCompletionRequestException(path + "role: system stands beside the messages");
                    }
                    system.append(system.isEmpty() ? "" : "\n\n").append(text);
                }
                default -> throw new InvalidCompletionRequestException(path + "role: expected user or assistant");
            }
        }
        return new CompletionRequest(
                model,
                maxTokens(dialect, json),
                readBoolean(json, "stream"),
                system.toString(),
                List.copyOf(turns),
                number(json, "temperature"),
                number(json, "top_p"),
                readStopSequences(json, dialect == Dialect.CHAT ? "stop" : "stop_sequences"),
                json.text(dialect == Dialect.CHAT ? "user" : "metadata.user_id"));
    }

    private static String readText(FlatJson json, String path) throws InvalidCompletionRequestException {
        if (json.text(path) != null) {
            return json.text(path);
        }
        if (!json.has(path)) {
            throw new InvalidCompletionRequestException(path + ": required");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < json.arraySize(path); i++) {
            String partPath = path + '.' + i;
            if (!json.text(partPath + ".type", "").equals("text") || json.text(partPath + ".text") == null) {
                throw new InvalidCompletionRequestException(partPath + ".type: only text is served here");
            }
            text.append(json.text(partPath + ".text"));
        }
        return text.toString();
    }

    private static long maxTokens(Dialect dialect, FlatJson json) throws InvalidCompletionRequestException {
        String name = json.has("max_tokens") || dialect == Dialect.MESSAGES ? "max_tokens" : "max_completion_tokens";
        String text = json.text(name);
        if (text == null && dialect == Dialect.CHAT) {
            return DEFAULT_MAX_TOKENS;
        }
        long value = json.nonNegativeLong(name);
        if (text == null || value < 1 || value > MAX_TOKENS) {
            throw new InvalidCompletionRequestException(
                    name + ": a whole number from 1 to " + MAX_TOKENS + " is required");
        }
        return value;
    }

    private static boolean readBoolean(FlatJson json, String name) throws InvalidCompletionRequestException {
        String text = json.text(name, "false");
        if (!text.equals("true") && !text.equals("false")) {
            throw new InvalidCompletionRequestException(name + ": expected true or false");
        }
        return text.equals("true");
    }

    private static String number(FlatJson json, String name) throws InvalidCompletionRequestException {
        String text = json.text(name);
        if (text != null && !text.matches("[0-9]{1,3}(\\.[0-9]{1,17})?")) {
            throw new InvalidCompletionRequestException(name + ": expected a number");
        }
        return text;
    }

    private static List<String> readStopSequences(FlatJson json, String name) {
        List<String> stops = new ArrayList<>();
        if (json.text(name) != null) {
            stops.add(json.text(name));
        }
        for (int i = 0; i < json.arraySize(name); i++) {
            stops.add(json.text(name + '.' + i, ""));
        }
        return stops;
    }

    /** The request in a dialect's words. */
    public byte[] encode(Dialect dialect) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FlatJson.JSON_FACTORY.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeStringField("model", model);
            generator.writeNumberField("max_tokens", maxTokens);
            generator.writeBooleanField("stream", stream);
            if (dialect == Dialect.MESSAGES && !system.isEmpty()) {
                generator.writeStringField("system", system);
            }
            generator.writeArrayFieldStart("messages");
            if (dialect == Dialect.CHAT && !system.isEmpty()) {
                writeMessage(generator, "system", system);
            }
            for (Message turn : messages) {
                writeMessage(generator, turn.role(), turn.text());
            }
            generator.writeEndArray();
            number(generator, "temperature", temperature);
            number(generator, "top_p", topP);
            writeOptions(generator, dialect);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private void writeOptions(JsonGenerator generator, Dialect dialect) throws IOException {
        if (!stopSequences.isEmpty()) {
            generator.writeArrayFieldStart(dialect == Dialect.CHAT ? "stop" : "stop_sequences");
            for (String stop : stopSequences) {
                generator.writeString(stop);
            }
            generator.writeEndArray();
        }
        if (dialect == Dialect.CHAT && stream) {
            generator.writeObjectFieldStart("stream_options");
            generator.writeBooleanField("include_usage", true);
            generator.writeEndObject();
        }
        if (user != null && dialect == Dialect.CHAT) {
            generator.writeStringField("user", user);
        } else if (user != null) {
            generator.writeObjectFieldStart("metadata");
            generator.writeStringField("user_id", user);
            generator.writeEndObject();
        }
    }

    private static void writeMessage(JsonGenerator generator, String role, String text) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("role", role);
        generator.writeStringField("content", text);
        generator.writeEndObject();
    }

    private static void number(JsonGenerator generator, String name, String text) throws IOException {
        if (text != null) {
            generator.writeFieldName(name);
            generator.writeNumber(text);
        }
    }
}
