package fawnlb.translation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Decodes responses of the messages dialect. */
final class MessagesResponseDecoder implements ResponseDecoder {
    private static final Set<String> EVENT_NAMES = Set.of(
            "message_start", "content_block_start", "content_block_delta", "message_delta", "message_stop", "error");
    /** Events that say nothing of the answer, whatever their data is. */
    private static final Set<String> IGNORED_EVENT_NAMES = Set.of("content_block_stop", "ping");

    private static final ResponseDelta UNRECOGNIZED = new ResponseDelta.Unrecognized();
    private static final ResponseDelta IGNORED = new ResponseDelta.Ignored();

    private Usage usage = Usage.NONE;

    @Override
    public List<ResponseDelta> decodeEvent(SseParser.Event event) throws IOException {
        return List.of(event.name().isEmpty() ? decodeUnnamed(event.data()) : decodeNamed(event));
    }

    private ResponseDelta decodeNamed(SseParser.Event event) throws IOException {
        if (EVENT_NAMES.contains(event.name())) {
            return decode(event.name(), FlatJson.parse(event.data()));
        }
        return IGNORED_EVENT_NAMES.contains(event.name()) ? IGNORED : UNRECOGNIZED;
    }

    private ResponseDelta decodeUnnamed(String data) throws IOException {
        if (!FlatJson.beginsObject(data)) {
            return UNRECOGNIZED;
        }
        FlatJson json = FlatJson.parse(data);
        return decode(json.text("type", ""), json);
    }

    private ResponseDelta decode(String eventName, FlatJson json) {
        return switch (eventName) {
            case "message_start" -> decodeStart(json);
            case "content_block_start" -> decodeBlockStart(json);
            case "content_block_delta" -> decodeBlockDelta(json);
            case "message_delta" -> decodeFinish(json, "delta.stop_reason");
            case "message_stop" -> new ResponseDelta.End();
            case "error" -> ResponseDecoder.failure(json);
            case "content_block_stop", "ping" -> IGNORED;
            default -> UNRECOGNIZED;
        };
    }

    private ResponseDelta decodeStart(FlatJson json) {
        recordUsage(json, "message.usage");
        return new ResponseDelta.Start(
                json.text("message.id", ""), json.text("message.model", ""), usage.inputTokens());
    }

    private static ResponseDelta decodeBlockStart(FlatJson json) {
        if (!json.text("content_block.type", "").equals("text")) {
            return UNRECOGNIZED;
        }
        String text = json.text("content_block.text", "");
        return text.isEmpty() ? IGNORED : new ResponseDelta.Text(text);
    }

    private static ResponseDelta decodeBlockDelta(FlatJson json) {
        return json.text("delta.type", "").equals("text_delta")
                ? new ResponseDelta.Text(json.text("delta.text", ""))
                : UNRECOGNIZED;
    }

    private ResponseDelta decodeFinish(FlatJson json, String reasonPath) {
        recordUsage(json, "usage");
        return new ResponseDelta.Finish(json.text(reasonPath, FinishReason.END_TURN), usage);
    }

    /** Counts are reported in several events, some of them only once: the largest value of each is the current one. */
    private void recordUsage(FlatJson json, String path) {
        usage = new Usage(
                Math.max(usage.inputTokens(), json.nonNegativeLong(path + ".input_tokens")),
                Math.max(usage.outputTokens(), json.nonNegativeLong(path + ".output_tokens")),
                Math.max(usage.cachedTokens(), json.nonNegativeLong(path + ".cache_read_input_tokens")));
    }

    @Override
    public List<ResponseDelta> decodeBody(byte[] body) throws IOException {
        FlatJson json = FlatJson.parse(body);
        if (!json.text("type", "").equals("message")) {
            throw new MalformedResponseBodyException("not a message");
        }
        List<ResponseDelta> deltas = new ArrayList<>();
        recordUsage(json, "usage");
        deltas.add(new ResponseDelta.Start(json.text("id", ""), json.text("model", ""), usage.inputTokens()));
        String text = decodeContent(json, deltas);
        deltas.add(new ResponseDelta.Text(text));
        deltas.add(decodeFinish(json, "stop_reason"));
        deltas.add(new ResponseDelta.End());
        return deltas;
    }

    /** Returns the text of all text blocks, and adds a delta for each block of another type. */
    private static String decodeContent(FlatJson json, List<ResponseDelta> deltas) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < json.arraySize("content"); i++) {
            String block = "content." + i;
            if (json.text(block + ".type", "").equals("text")) {
                text.append(json.text(block + ".text", ""));
            } else {
                deltas.add(UNRECOGNIZED);
            }
        }
        return text.toString();
    }
}
