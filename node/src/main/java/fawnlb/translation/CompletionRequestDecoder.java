package fawnlb.translation;

import fawnlb.http.InvalidRequestException;
import fawnlb.translation.CompletionRequest.Message;
import fawnlb.translation.CompletionRequest.Sampling;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Decodes and validates one client's request. */
final class CompletionRequestDecoder {
    private static final int BAD_REQUEST = 400;
    private static final long DEFAULT_MAX_TOKENS = 1024;
    private static final long MAX_TOKENS = 1_000_000;
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,17})?");
    private static final String SYSTEM_PROMPT_SEPARATOR = "\n\n";

    private final Dialect dialect;
    private final FlatJson json;
    private final StringBuilder system = new StringBuilder();
    private final List<Message> messages = new ArrayList<>();

    private CompletionRequestDecoder(Dialect dialect, FlatJson json) {
        this.dialect = dialect;
        this.json = json;
    }

    static CompletionRequest decode(Dialect dialect, byte[] body) throws InvalidRequestException {
        FlatJson json;
        try {
            json = FlatJson.parse(body);
        } catch (MalformedJsonException e) {
            throw new InvalidRequestException(
                    BAD_REQUEST, InvalidRequestException.BODY, "the body is not a JSON object", e);
        }
        return new CompletionRequestDecoder(dialect, json).decode();
    }

    private CompletionRequest decode() throws InvalidRequestException {
        String model = readModel();
        rejectUnsupportedFields();
        readSystemPrompt();
        readMessages();
        long maxTokens = readMaxTokens();
        boolean stream = readBoolean("stream");
        Sampling sampling =
                new Sampling(maxTokens, readDecimal("temperature"), readDecimal("top_p"), readStopSequences());
        return new CompletionRequest(model, stream, system.toString(), List.copyOf(messages), sampling, readUser());
    }

    private String readModel() throws InvalidRequestException {
        String model = json.text("model");
        if (model == null || model.isEmpty()) {
            throw invalid("model: a name is required");
        }
        return model;
    }

    private void rejectUnsupportedFields() throws InvalidRequestException {
        if (json.arraySize("messages") == 0) {
            throw invalid("messages: at least one is required");
        }
        if (json.arraySize("tools") > 0) {
            throw invalid("tools: not served here");
        }
    }

    /** Only the messages dialect has a field for the system prompt; the chat dialect puts it among the messages. */
    private void readSystemPrompt() throws InvalidRequestException {
        if (dialect == Dialect.MESSAGES && json.has("system")) {
            system.append(readText("system"));
        }
    }

    private void readMessages() throws InvalidRequestException {
        for (int i = 0; i < json.arraySize("messages"); i++) {
            String path = "messages." + i + '.';
            String role = json.text(path + "role", "");
            String text = readText(path + "content");
            switch (role) {
                case "user", "assistant" -> messages.add(new Message(role, text));
                case "system", "developer" -> addSystemMessage(path, text);
                default -> throw invalid(path + "role: expected user or assistant");
            }
        }
    }

    private void addSystemMessage(String path, String text) throws InvalidRequestException {
        if (dialect == Dialect.MESSAGES) {
            throw invalid(path + "role: system stands beside the messages");
        }
        system.append(system.isEmpty() ? "" : SYSTEM_PROMPT_SEPARATOR).append(text);
    }

    /** Reads a text, which is either a string or a list of text parts. */
    private String readText(String path) throws InvalidRequestException {
        if (json.text(path) != null) {
            return json.text(path);
        }
        if (!json.has(path)) {
            throw invalid(path + ": required");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < json.arraySize(path); i++) {
            String part = path + '.' + i;
            if (!json.text(part + ".type", "").equals("text") || json.text(part + ".text") == null) {
                throw invalid(part + ".type: only text is served here");
            }
            text.append(json.text(part + ".text"));
        }
        return text.toString();
    }

    /** The limit is optional in the chat dialect alone, which has two names for it. */
    private long readMaxTokens() throws InvalidRequestException {
        String name = json.has("max_tokens") || dialect == Dialect.MESSAGES ? "max_tokens" : "max_completion_tokens";
        String text = json.text(name);
        if (text == null && dialect == Dialect.CHAT) {
            return DEFAULT_MAX_TOKENS;
        }
        long value = json.nonNegativeLong(name);
        if (text == null || value < 1 || value > MAX_TOKENS) {
            throw invalid(name + ": a whole number from 1 to " + MAX_TOKENS + " is required");
        }
        return value;
    }

    private boolean readBoolean(String name) throws InvalidRequestException {
        String text = json.text(name, "false");
        if (!text.equals("true") && !text.equals("false")) {
            throw invalid(name + ": expected true or false");
        }
        return text.equals("true");
    }

    private String readDecimal(String name) throws InvalidRequestException {
        String text = json.text(name);
        if (text != null && !DECIMAL.matcher(text).matches()) {
            throw invalid(name + ": expected a number");
        }
        return text;
    }

    /** Reads the stop sequences, which are either a string or a list of strings. */
    private List<String> readStopSequences() {
        String name = dialect == Dialect.CHAT ? "stop" : "stop_sequences";
        List<String> sequences = new ArrayList<>();
        if (json.text(name) != null) {
            sequences.add(json.text(name));
        }
        for (int i = 0; i < json.arraySize(name); i++) {
            sequences.add(json.text(name + '.' + i, ""));
        }
        return sequences;
    }

    private String readUser() {
        return json.text(dialect == Dialect.CHAT ? "user" : "metadata.user_id");
    }

    private static InvalidRequestException invalid(String detail) {
        return new InvalidRequestException(BAD_REQUEST, InvalidRequestException.BODY, detail);
    }
}
