package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * Encodes responses of the messages dialect; all text goes into one content block, which is opened with the first text.
 */
final class MessagesResponseEncoder extends ResponseEncoder {
    private static final int BLOCK_INDEX = 0;

    private boolean blockOpen;
    private boolean blockWritten;

    private static String event(String name, JsonText.Fields fields) {
        return "event: " + name + "\ndata: "
                + JsonText.object(generator -> {
                    generator.writeStringField("type", name);
                    fields.write(generator);
                })
                + "\n\n";
    }

    @Override
    String startEvent(ResponseDelta.Start start) {
        return event("message_start", generator -> {
            generator.writeObjectFieldStart("message");
            writeHead(generator);
            generator.writeArrayFieldStart("content");
            generator.writeEndArray();
            generator.writeNullField("stop_reason");
            generator.writeNullField("stop_sequence");
            writeUsage(generator, new Usage(start.inputTokens(), 0, 0));
            generator.writeEndObject();
        });
    }

    @Override
    String textEvents(ResponseDelta.Text text) {
        return openBlock()
                + event("content_block_delta", generator -> {
                    generator.writeNumberField("index", BLOCK_INDEX);
                    generator.writeObjectFieldStart("delta");
                    generator.writeStringField("type", "text_delta");
                    generator.writeStringField("text", text.text());
                    generator.writeEndObject();
                });
    }

    /** A response without text still has a block: clients expect one. */
    @Override
    String finishEvents(ResponseDelta.Finish finish) {
        String emptyBlock = blockWritten ? "" : openBlock();
        return emptyBlock
                + closeBlock()
                + event("message_delta", generator -> {
                    generator.writeObjectFieldStart("delta");
                    generator.writeStringField("stop_reason", finish.reason());
                    generator.writeNullField("stop_sequence");
                    generator.writeEndObject();
                    writeUsage(generator, finish.usage());
                });
    }

    @Override
    String finalEvent() {
        return event("message_stop", generator -> {});
    }

    @Override
    String errorEvent(ResponseDelta.Failure failure) {
        return event("error", generator -> writeError(generator, failure));
    }

    private String openBlock() {
        if (blockOpen) {
            return "";
        }
        blockOpen = true;
        blockWritten = true;
        return event("content_block_start", generator -> {
            generator.writeNumberField("index", BLOCK_INDEX);
            generator.writeObjectFieldStart("content_block");
            generator.writeStringField("type", "text");
            generator.writeStringField("text", "");
            generator.writeEndObject();
        });
    }

    private String closeBlock() {
        if (!blockOpen) {
            return "";
        }
        blockOpen = false;
        return event("content_block_stop", generator -> generator.writeNumberField("index", BLOCK_INDEX));
    }

    @Override
    String body(String content, ResponseDelta.Finish finish) {
        return JsonText.object(generator -> {
            writeHead(generator);
            generator.writeArrayFieldStart("content");
            generator.writeStartObject();
            generator.writeStringField("type", "text");
            generator.writeStringField("text", content);
            generator.writeEndObject();
            generator.writeEndArray();
            generator.writeStringField("stop_reason", finish.reason());
            generator.writeNullField("stop_sequence");
            writeUsage(generator, finish.usage());
        });
    }

    private void writeHead(JsonGenerator generator) throws IOException {
        generator.writeStringField("id", id());
        generator.writeStringField("type", "message");
        generator.writeStringField("role", "assistant");
        generator.writeStringField("model", model());
    }

    private static void writeUsage(JsonGenerator generator, Usage usage) throws IOException {
        generator.writeObjectFieldStart("usage");
        generator.writeNumberField("input_tokens", usage.inputTokens());
        generator.writeNumberField("output_tokens", usage.outputTokens());
        generator.writeNumberField("cache_read_input_tokens", usage.cachedTokens());
        generator.writeEndObject();
    }
}
