package fawnlb.translation;

import fawnlb.translation.SseParser.Event;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads the pieces of an answer out of one dialect's events or whole answer. */
final class ResponseDecoder {
    /** The events of the messages interface that are known here. */
    private static final Set<String> MESSAGES_EVENT_NAMES = Set.of(
            "message_start",
            "content_block_start",
            "content_block_delta",
            "content_block_stop",
            "message_delta",
            "message_stop",
            "ping",
            "error");

    private final Dialect dialect;
    private boolean started;
    private String finishReason = "end_turn";
    private long inputTokens;
    private long outputTokens;
    private long cachedTokens;

    ResponseDecoder(Dialect dialect) {
        this.dialect = dialect;
    }

    /** The event's pieces; an event of a known name that can't be read is an error, not something unknown. */
    List<ResponseDelta> decodeEvent(Event event) throws IOException {
        return dialect == Dialect.CHAT ? decodeChatEvent(event) : decodeMessagesEvent(event);
    }

    private List<ResponseDelta> decodeChatEvent(Event event) throws IOException {
        if (!event.name().isEmpty() && !event.name().equals("message")) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        if (event.data().equals("[DONE]")) {
            return List.of(
                    new ResponseDelta.Finish(finishReason, inputTokens, outputTokens, cachedTokens),
                    new ResponseDelta.End());
        }
        FlatJson json = FlatJson.parse(event.data());
        if (json.has("error")) {
            return List.of(failure(json));
        }
        if (!json.has("choices")) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        List<ResponseDelta> deltas = new ArrayList<>();
        addChatStart(json, deltas);
        String text = json.text("choices.0.delta.content", "");
        if (!text.isEmpty()) {
            deltas.add(new ResponseDelta.Text(text));
        }
        recordChatFinish(json);
        return deltas;
    }

    private void addChatStart(FlatJson json, List<ResponseDelta> deltas) {
        if (!started) {
            started = true;
            deltas.add(new ResponseDelta.Start(
                    json.text("id", ""), json.text("model", ""), json.nonNegativeLong("usage.prompt_tokens")));
        }
    }

    private void recordChatFinish(FlatJson json) {
        String finish = json.text("choices.0.finish_reason");
        if (finish != null) {
            finishReason = switch (finish) {
                case "length" -> "max_tokens";
                case "tool_calls" -> "tool_use";
                case "content_filter" -> "refusal";
                default -> "end_turn";
            };
        }
        if (json.has("usage")) {
            inputTokens = json.nonNegativeLong("usage.prompt_tokens");
            outputTokens = json.nonNegativeLong("usage.completion_tokens");
            cachedTokens = json.nonNegativeLong("usage.prompt_tokens_details.cached_tokens");
        }
    }

    private List<ResponseDelta> decodeMessagesEvent(Event event) throws IOException {
        String name = event.name();
        FlatJson json = null;
        if (name.isEmpty()) {
            json = FlatJson.parse(event.data());
            name = json.text("type", "");
        }
        if (!MESSAGES_EVENT_NAMES.contains(name)) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        return decodeNamedMessagesEvent(name, json == null ? FlatJson.parse(event.data()) : json);
    }

    private List<ResponseDelta> decodeNamedMessagesEvent(String name, FlatJson json) {
        switch (name) {
            case "message_start" -> {
                recordMessagesUsage(json, "message.usage");
                return List.of(new ResponseDelta.Start(
                        json.text("message.id", ""), json.text("message.model", ""), inputTokens));
            }
            case "content_block_start" -> {
                String text = json.text("content_block.text", "");
                return List.of(
                        !json.text("content_block.type", "").equals("text")
                                ? new ResponseDelta.Unrecognized()
                                : text.isEmpty() ? new ResponseDelta.Ignored() : new ResponseDelta.Text(text));
            }
            case "content_block_delta" -> {
                return List.of(
                        json.text("delta.type", "").equals("text_delta")
                                ? new ResponseDelta.Text(json.text("delta.text", ""))
                                : new ResponseDelta.Unrecognized());
            }
            case "message_delta" -> {
                recordMessagesUsage(json, "usage");
                return List.of(new ResponseDelta.Finish(
                        json.text("delta.stop_reason", "end_turn"), inputTokens, outputTokens, cachedTokens));
            }
            case "message_stop" -> {
                return List.of(new ResponseDelta.End());
            }
            case "error" -> {
                return List.of(failure(json));
            }
            default -> {
                return List.of(new ResponseDelta.Ignored());
            }
        }
    }

    private void recordMessagesUsage(FlatJson json, String path) {
        inputTokens = Math.max(inputTokens, json.nonNegativeLong(path + ".input_tokens"));
        outputTokens = Math.max(outputTokens, json.nonNegativeLong(path + ".output_tokens"));
        cachedTokens = Math.max(cachedTokens, json.nonNegativeLong(path + ".cache_read_input_tokens"));
    }

    private static ResponseDelta failure(FlatJson json) {
        return new ResponseDelta.Failure(
                json.text("error.type", "api_error"), json.text("error.message", "the target failed"));
    }

    /** The pieces of a whole answer. */
    List<ResponseDelta> decodeBody(byte[] body) throws IOException {
        FlatJson json = FlatJson.parse(body);
        List<ResponseDelta> deltas = new ArrayList<>();
        if (dialect == Dialect.CHAT) {
            if (json.arraySize("choices") == 0) {
                throw new IOException("not a chat completion");
            }
            addChatStart(json, deltas);
            deltas.add(new ResponseDelta.Text(json.text("choices.0.message.content", "")));
            recordChatFinish(json);
            deltas.add(new ResponseDelta.Finish(finishReason, inputTokens, outputTokens, cachedTokens));
        } else {
            if (!json.text("type", "").equals("message")) {
                throw new IOException("not a message");
            }
            recordMessagesUsage(json, "usage");
            deltas.add(new ResponseDelta.Start(json.text("id", ""), json.text("model", ""), inputTokens));
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < json.arraySize("content"); i++) {
                boolean known = json.text("content." + i + ".type", "").equals("text");
                text.append(known ? json.text("content." + i + ".text", "") : "");
                if (!known) {
                    deltas.add(new ResponseDelta.Unrecognized());
                }
            }
            deltas.add(new ResponseDelta.Text(text.toString()));
            deltas.add(new ResponseDelta.Finish(
                    json.text("stop_reason", "end_turn"), inputTokens, outputTokens, cachedTokens));
        }
        deltas.add(new ResponseDelta.End());
        return deltas;
    }
}
