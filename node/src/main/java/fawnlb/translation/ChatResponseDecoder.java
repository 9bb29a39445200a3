package fawnlb.translation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes responses of the chat dialect. */
final class ChatResponseDecoder implements ResponseDecoder {
    private static final String FINAL_EVENT_DATA = "[DONE]";

    private boolean started;
    private String finishReason = FinishReason.END_TURN;
    private Usage usage = Usage.NONE;

    @Override
    public List<ResponseDelta> decodeEvent(SseParser.Event event) throws IOException {
        if (!event.name().isEmpty() && !event.name().equals(SseParser.DEFAULT_EVENT_NAME)) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        if (event.data().equals(FINAL_EVENT_DATA)) {
            return List.of(new ResponseDelta.Finish(finishReason, usage), new ResponseDelta.End());
        }
        if (!FlatJson.beginsObject(event.data())) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        FlatJson json = FlatJson.parse(event.data());
        if (json.has("error")) {
            return List.of(ResponseDecoder.failure(json));
        }
        if (!json.has("choices")) {
            return List.of(new ResponseDelta.Unrecognized());
        }
        return decodeChunk(json);
    }

    private List<ResponseDelta> decodeChunk(FlatJson json) {
        List<ResponseDelta> deltas = new ArrayList<>();
        addStart(json, deltas);
        String text = json.text("choices.0.delta.content", "");
        if (!text.isEmpty()) {
            deltas.add(new ResponseDelta.Text(text));
        }
        recordFinish(json);
        return deltas;
    }

    /** The dialect has no event of its own for the start: the first chunk implies it. */
    private void addStart(FlatJson json, List<ResponseDelta> deltas) {
        if (!started) {
            started = true;
            deltas.add(new ResponseDelta.Start(
                    json.text("id", ""), json.text("model", ""), json.nonNegativeLong("usage.prompt_tokens")));
        }
    }

    /** The finish reason and the usage come in chunks before the final event, which carries neither. */
    private void recordFinish(FlatJson json) {
        String reason = json.text("choices.0.finish_reason");
        if (reason != null) {
            finishReason = FinishReason.fromChat(reason);
        }
        if (json.has("usage")) {
            usage = new Usage(
                    json.nonNegativeLong("usage.prompt_tokens"),
                    json.nonNegativeLong("usage.completion_tokens"),
                    json.nonNegativeLong("usage.prompt_tokens_details.cached_tokens"));
        }
    }

    @Override
    public List<ResponseDelta> decodeBody(byte[] body) throws IOException {
        FlatJson json = FlatJson.parse(body);
        if (json.arraySize("choices") == 0) {
            throw new MalformedResponseBodyException("not a chat completion");
        }
        List<ResponseDelta> deltas = new ArrayList<>();
        addStart(json, deltas);
        deltas.add(new ResponseDelta.Text(json.text("choices.0.message.content", "")));
        recordFinish(json);
        deltas.add(new ResponseDelta.Finish(finishReason, usage));
        deltas.add(new ResponseDelta.End());
        return deltas;
    }
}
