package fawnlb.dialect;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/** Writes the pieces of an answer as one dialect's events or whole answer. */
final class PieceWriter {
    private final Dialect dialect;
    private String id = "";
    private String model = "";
    private boolean blockOpen;
    private boolean blockEver;

    PieceWriter(Dialect dialect) {
        this.dialect = dialect;
    }

    /** What goes inside a JSON object. */
    @FunctionalInterface
    private interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    private static String json(Body body) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = Fields.JSON.createGenerator(text)) {
            out.writeStartObject();
            body.write(out);
            out.writeEndObject();
        }
        return text.toString();
    }

    private static String event(String name, Body body) throws IOException {
        return "event: " + name + "\ndata: "
                + json(out -> {
                    out.writeStringField("type", name);
                    body.write(out);
                })
                + "\n\n";
    }

    String write(Piece piece) throws IOException {
        return dialect == Dialect.CHAT ? chat(piece) : messages(piece);
    }

    private void start(Piece.Start start) {
        id = start.id();
        model = start.model();
    }

    private String chat(Piece piece) throws IOException {
        if (piece instanceof Piece.Start p) {
            start(p);
            return chunk("role", "assistant", null);
        } else if (piece instanceof Piece.Text p) {
            return chunk("content", p.text(), null);
        } else if (piece instanceof Piece.Stop p) {
            return chunk(null, null, finishReason(p.reason())) + "data: "
                    + json(out -> {
                        chatHead(out, "chat.completion.chunk");
                        out.writeArrayFieldStart("choices");
                        out.writeEndArray();
                        chatUsage(out, p);
                    })
                    + "\n\n";
        } else if (piece instanceof Piece.Done) {
            return "data: [DONE]\n\n";
        } else if (piece instanceof Piece.Failure p) {
            return "data: " + json(out -> error(out, p)) + "\n\n";
        }
        return "";
    }

    private String chunk(String field, String value, String finish) throws IOException {
        return "data: "
                + json(out -> {
                    chatHead(out, "chat.completion.chunk");
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

    private void chatHead(JsonGenerator out, String object) throws IOException {
        out.writeStringField("id", id);
        out.writeStringField("object", object);
        out.writeStringField("model", model);
    }

    private static void chatUsage(JsonGenerator out, Piece.Stop stop) throws IOException {
        out.writeObjectFieldStart("usage");
        out.writeNumberField("prompt_tokens", stop.inputTokens());
        out.writeNumberField("completion_tokens", stop.outputTokens());
        out.writeNumberField("total_tokens", stop.inputTokens() + stop.outputTokens());
        out.writeObjectFieldStart("prompt_tokens_details");
        out.writeNumberField("cached_tokens", stop.keptTokens());
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

    private static void error(JsonGenerator out, Piece.Failure failure) throws IOException {
        out.writeObjectFieldStart("error");
        out.writeStringField("type", failure.type());
        out.writeStringField("message", failure.message());
        out.writeEndObject();
    }

    private String messages(Piece piece) throws IOException {
        if (piece instanceof Piece.Start p) {
            start(p);
            return event("message_start", out -> {
                out.writeObjectFieldStart("message");
                messageHead(out);
                out.writeArrayFieldStart("content");
                out.writeEndArray();
                out.writeNullField("stop_reason");
                out.writeNullField("stop_sequence");
                messageUsage(out, p.inputTokens(), 0, 0);
                out.writeEndObject();
            });
        } else if (piece instanceof Piece.Text p) {
            String open = openBlock();
            return open
                    + event("content_block_delta", out -> {
                        out.writeNumberField("index", 0);
                        out.writeObjectFieldStart("delta");
                        out.writeStringField("type", "text_delta");
                        out.writeStringField("text", p.text());
                        out.writeEndObject();
                    });
        } else if (piece instanceof Piece.Stop p) {
            String block = blockEver ? "" : openBlock();
            String close = blockOpen ? event("content_block_stop", out -> out.writeNumberField("index", 0)) : "";
            blockOpen = false;
            return block
                    + close
                    + event("message_delta", out -> {
                        out.writeObjectFieldStart("delta");
                        out.writeStringField("stop_reason", p.reason());
                        out.writeNullField("stop_sequence");
                        out.writeEndObject();
                        messageUsage(out, p.inputTokens(), p.outputTokens(), p.keptTokens());
                    });
        } else if (piece instanceof Piece.Done) {
            return event("message_stop", out -> {});
        } else if (piece instanceof Piece.Failure p) {
            return event("error", out -> error(out, p));
        }
        return "";
    }

    private String openBlock() throws IOException {
        if (blockOpen) {
            return "";
        }
        blockOpen = true;
        blockEver = true;
        return event("content_block_start", out -> {
            out.writeNumberField("index", 0);
            out.writeObjectFieldStart("content_block");
            out.writeStringField("type", "text");
            out.writeStringField("text", "");
            out.writeEndObject();
        });
    }

    private void messageHead(JsonGenerator out) throws IOException {
        out.writeStringField("id", id);
        out.writeStringField("type", "message");
        out.writeStringField("role", "assistant");
        out.writeStringField("model", model);
    }

    private static void messageUsage(JsonGenerator out, long input, long output, long kept) throws IOException {
        out.writeObjectFieldStart("usage");
        out.writeNumberField("input_tokens", input);
        out.writeNumberField("output_tokens", output);
        out.writeNumberField("cache_read_input_tokens", kept);
        out.writeEndObject();
    }

    /** A whole answer. */
    String whole(List<Piece> pieces) throws IOException {
        StringBuilder text = new StringBuilder();
        Piece.Stop[] stop = {new Piece.Stop("end_turn", 0, 0, 0)};
        for (Piece piece : pieces) {
            if (piece instanceof Piece.Start p) {
                start(p);
            } else if (piece instanceof Piece.Text p) {
                text.append(p.text());
            } else if (piece instanceof Piece.Stop p) {
                stop[0] = p;
            }
        }
        return json(out -> {
            if (dialect == Dialect.CHAT) {
                chatHead(out, "chat.completion");
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
                chatUsage(out, stop[0]);
            } else {
                messageHead(out);
                out.writeArrayFieldStart("content");
                out.writeStartObject();
                out.writeStringField("type", "text");
                out.writeStringField("text", text.toString());
                out.writeEndObject();
                out.writeEndArray();
                out.writeStringField("stop_reason", stop[0].reason());
                out.writeNullField("stop_sequence");
                messageUsage(out, stop[0].inputTokens(), stop[0].outputTokens(), stop[0].keptTokens());
            }
        });
    }
}
