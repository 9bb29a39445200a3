package fawnlb.translation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/** Writes the pieces of an answer as one dialect's events or whole answer. */
final class ResponseEncoder {
    private final Dialect dialect;
    private String id = "";
    private String model = "";
    private boolean blockOpen;
    private boolean blockWritten;

    ResponseEncoder(Dialect dialect) {
        this.dialect = dialect;
    }

    /** What goes inside a JSON object. */
    @FunctionalInterface
    private interface JsonObjectBody {
        void write(JsonGenerator out) throws IOException;
    }

    private static String json(JsonObjectBody body) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FlatJson.JSON_FACTORY.createGenerator(text)) {
            out.writeStartObject();
            body.write(out);
            out.writeEndObject();
        }
        return text.toString();
    }

    private static String event(String name, JsonObjectBody body) throws IOException {
        return "event: " + name + "\ndata: "
                + json(out -> {
                    out.writeStringField("type", name);
                    body.write(out);
                })
                + "\n\n";
    }

    String encodeEvent(ResponseDelta delta) throws IOException {
        return dialect == Dialect.CHAT ? encodeChatEvent(delta) : encodeMessagesEvent(delta);
    }

    private void recordStart(ResponseDelta.Start start) {
        id = start.id();
        model = start.model();
    }

    private String encodeChatEvent(ResponseDelta delta) throws IOException {
        if (delta instanceof ResponseDelta.Start p) {
            recordStart(p);
            return chatChunk("role", "assistant", null);
        } else if (delta instanceof ResponseDelta.Text p) {
            return chatChunk("content", p.text(), null);
        } else if (delta instanceof ResponseDelta.Finish p) {
            return chatChunk(null, null, finishReason(p.reason())) + "data: "
                    + json(out -> {
                        writeChatHead(out, "chat.completion.chunk");
                        out.writeArrayFieldStart("choices");
                        out.writeEndArray();
                        writeChatUsage(out, p);
                    })
                    + "\n\n";
        } else if (delta instanceof ResponseDelta.End) {
            return "data: [DONE]\n\n";
        } else if (delta instanceof ResponseDelta.Failure p) {
            return "data: " + json(out -> writeError(out, p)) + "\n\n";
        }
        return "";
    }

    private String chatChunk(String field, String value, String finish) throws IOException {
        return "data: "
                + json(out -> {
                    writeChatHead(out, "chat.completion.chunk");
                    out.writeArrayFieldStart("choices");
                    out.writeStartObject();
                    out.writeNumberField("index", 0);
                    out.writeObjectFieldStart("delta");
                    if (field != null) {
                        out.writeStringField(field, value);
                    }
                    out.writeEndObject();
                    out.writeStringField("finish_reason", finish);
                    out.writeEndObject();
                    out.writeEndArray();
                })
                + "\n\n";
    }

    private void writeChatHead(JsonGenerator out, String object) throws IOException {
        out.writeStringField("id", id);
        out.writeStringField("object", object);
        out.writeStringField("model", model);
    }

    private static void writeChatUsage(JsonGenerator out, ResponseDelta.Finish stop) throws IOException {
        out.writeObjectFieldStart("usage");
        out.writeNumberField("prompt_tokens", stop.inputTokens());
        out.writeNumberField("completion_tokens", stop.outputTokens());
        out.writeNumberField("total_tokens", stop.inputTokens() + stop.outputTokens());
        out.writeObjectFieldStart("prompt_tokens_details");
        out.writeNumberField("cached_tokens", stop.cachedTokens());
        out.writeEndObject();
        out.writeEndObject();
    }

    private static String finishReason(String reason) {
        return switch (reason) {
            case "max_tokens" -> "length";
            case "tool_use" -> "tool_calls";
            case "refusal" -> "content_filter";
            default -> "stop";
        };
    }

    private static void writeError(JsonGenerator out, ResponseDelta.Failure failure) throws IOException {
        out.writeObjectFieldStart("error");
        out.writeStringField("type", failure.type());
        out.writeStringField("message", failure.message());
        out.writeEndObject();
    }

    private String encodeMessagesEvent(ResponseDelta delta) throws IOException {
        if (delta instanceof ResponseDelta.Start p) {
            recordStart(p);
            return event("message_start", out -> {
                out.writeObjectFieldStart("message");
                writeMessageHead(out);
                out.writeArrayFieldStart("content");
                out.writeEndArray();
                out.writeNullField("stop_reason");
                out.writeNullField("stop_sequence");
                writeMessagesUsage(out, p.inputTokens(), 0, 0);
                out.writeEndObject();
            });
        } else if (delta instanceof ResponseDelta.Text p) {
            String open = openContentBlock();
            return open
                    + event("content_block_delta", out -> {
                        out.writeNumberField("index", 0);
                        out.writeObjectFieldStart("delta");
                        out.writeStringField("type", "text_delta");
                        out.writeStringField("text", p.text());
                        out.writeEndObject();
                    });
        } else if (delta instanceof ResponseDelta.Finish p) {
            String block = blockWritten ? "" : openContentBlock();
            String close = blockOpen ? event("content_block_stop", out -> out.writeNumberField("index", 0)) : "";
            blockOpen = false;
            return block
                    + close
                    + event("message_delta", out -> {
                        out.writeObjectFieldStart("delta");
                        out.writeStringField("stop_reason", p.reason());
                        out.writeNullField("stop_sequence");
                        out.writeEndObject();
                        writeMessagesUsage(out, p.inputTokens(), p.outputTokens(), p.cachedTokens());
                    });
        } else if (delta instanceof ResponseDelta.End) {
            return event("message_stop", out -> {});
        } else if (delta instanceof ResponseDelta.Failure p) {
            return event("error", out -> writeError(out, p));
        }
        return "";
    }

    private String openContentBlock() throws IOException {
        if (blockOpen) {
            return "";
        }
        blockOpen = true;
        blockWritten = true;
        return event("content_block_start", out -> {
            out.writeNumberField("index", 0);
            out.writeObjectFieldStart("content_block");
            out.writeStringField("type", "text");
            out.writeStringField("text", "");
            out.writeEndObject();
        });
    }

    private void writeMessageHead(JsonGenerator out) throws IOException {
        out.writeStringField("id", id);
        out.writeStringField("type", "message");
        out.writeStringField("role", "assistant");
        out.writeStringField("model", model);
    }

    private static void writeMessagesUsage(JsonGenerator out, long inputTokens, long outputTokens, long cachedTokens)
            throws IOException {
        out.writeObjectFieldStart("usage");
        out.writeNumberField("input_tokens", inputTokens);
        out.writeNumberField("output_tokens", outputTokens);
        out.writeNumberField("cache_read_input_tokens", cachedTokens);
        out.writeEndObject();
    }

    /** A whole answer. */
    String encodeBody(List<ResponseDelta> deltas) throws IOException {
        StringBuilder text = new StringBuilder();
        ResponseDelta.Finish[] stop = {new ResponseDelta.Finish("end_turn", 0, 0, 0)};
        for (ResponseDelta delta : deltas) {
            if (delta instanceof ResponseDelta.Start p) {
                recordStart(p);
            } else if (delta instanceof ResponseDelta.Text p) {
                text.append(p.text());
            } else if (delta instanceof ResponseDelta.Finish p) {
                stop[0] = p;
            }
        }
        return json(out -> {
            if (dialect == Dialect.CHAT) {
                writeChatHead(out, "chat.completion");
                out.writeArrayFieldStart("choices");
                out.writeStartObject();
                out.writeNumberField("index", 0);
                out.writeObjectFieldStart("message");
                out.writeStringField("role", "assistant");
                out.writeStringField("content", text.toString());
                out.writeEndObject();
                out.writeStringField("finish_reason", finishReason(stop[0].reason()));
                out.writeEndObject();
                out.writeEndArray();
                writeChatUsage(out, stop[0]);
            } else {
                writeMessageHead(out);
                out.writeArrayFieldStart("content");
                out.writeStartObject();
                out.writeStringField("type", "text");
                out.writeStringField("text", text.toString());
                out.writeEndObject();
                out.writeEndArray();
                out.writeStringField("stop_reason", stop[0].reason());
                out.writeNullField("stop_sequence");
                writeMessagesUsage(out, stop[0].inputTokens(), stop[0].outputTokens(), stop[0].cachedTokens());
            }
        });
    }
}
