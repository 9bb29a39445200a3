package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/** Encodes responses of the chat dialect. */
final class ChatResponseEncoder extends ResponseEncoder {
    private static final String CHUNK_OBJECT = "chat.completion.chunk";
    private static final String BODY_OBJECT = "chat.completion";
    private static final String FINAL_EVENT = "data: [DONE]\n\n";
    private static final JsonText.Fields EMPTY_DELTA = generator -> {};

    private static String event(JsonText.Fields fields) {
        return "data: " + JsonText.object(fields) + "\n\n";
    }

    @Override
    String startEvent(ResponseDelta.Start start) {
        return chunk(delta -> delta.writeStringField("role", "assistant"), null);
    }

    @Override
    String textEvents(ResponseDelta.Text text) {
        return chunk(delta -> delta.writeStringField("content", text.text()), null);
    }

    /** The usage comes in a chunk of its own, which has no choices. */
    @Override
    String finishEvents(ResponseDelta.Finish finish) {
        return chunk(EMPTY_DELTA, FinishReason.toChat(finish.reason()))
                + event(generator -> {
                    writeHead(generator, CHUNK_OBJECT);
                    generator.writeArrayFieldStart("choices");
                    generator.writeEndArray();
                    writeUsage(generator, finish.usage());
                });
    }

    @Override
    String finalEvent() {
        return FINAL_EVENT;
    }

    @Override
    String errorEvent(ResponseDelta.Failure failure) {
        return event(generator -> writeError(generator, failure));
    }

    /** Returns a chunk with one choice; the finish reason may be null. */
    private String chunk(JsonText.Fields delta, String finishReason) {
        return event(generator -> {
            writeHead(generator, CHUNK_OBJECT);
            writeChoice(generator, "delta", delta, finishReason);
        });
    }

    @Override
    String body(String content, ResponseDelta.Finish finish) {
        JsonText.Fields message = generator -> {
            generator.writeStringField("role", "assistant");
            generator.writeStringField("content", content);
        };
        return JsonText.object(generator -> {
            writeHead(generator, BODY_OBJECT);
            writeChoice(generator, "message", message, FinishReason.toChat(finish.reason()));
            writeUsage(generator, finish.usage());
        });
    }

    private void writeHead(JsonGenerator generator, String object) throws IOException {
        generator.writeStringField("id", id());
        generator.writeStringField("object", object);
        generator.writeStringField("model", model());
    }

    private static void writeChoice(
            JsonGenerator generator, String contentField, JsonText.Fields content, String finishReason)
            throws IOException {
        generator.writeArrayFieldStart("choices");
        generator.writeStartObject();
        generator.writeNumberField("index", 0);
        generator.writeObjectFieldStart(contentField);
        content.write(generator);
        generator.writeEndObject();
        generator.writeStringField("finish_reason", finishReason);
        generator.writeEndObject();
        generator.writeEndArray();
    }

    private static void writeUsage(JsonGenerator generator, Usage usage) throws IOException {
        generator.writeObjectFieldStart("usage");
        generator.writeNumberField("prompt_tokens", usage.inputTokens());
        generator.writeNumberField("completion_tokens", usage.outputTokens());
        generator.writeNumberField("total_tokens", usage.inputTokens() + usage.outputTokens());
        generator.writeObjectFieldStart("prompt_tokens_details");
        generator.writeNumberField("cached_tokens", usage.cachedTokens());
        generator.writeEndObject();
        generator.writeEndObject();
    }
}
