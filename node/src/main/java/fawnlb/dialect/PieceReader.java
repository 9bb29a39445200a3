package fawnlb.dialect;

import fawnlb.dialect.SseParser.Event;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads the pieces of an answer out of one dialect's events or whole answer. */
final class PieceReader {
    /** The events of the messages interface that are known here. */
    private static final Set<String> MESSAGE_EVENTS = Set.of(
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
    private String reason = "end_turn";
    private long input;
    private long output;
    private long kept;

    PieceReader(Dialect dialect) {
        this.dialect = dialect;
    }

    /** The event's pieces; an event of a known name that can't be read is an error, not something unknown. */
    List<Piece> read(Event event) throws IOException {
        return dialect == Dialect.CHAT ? chat(event) : messages(event);
    }

    private List<Piece> chat(Event event) throws IOException {
        if (!event.name().isEmpty() && !event.name().equals("message")) {
            return List.of(new Piece.Unknown());
        }
        if (event.data().equals("[DONE]")) {
            return List.of(new Piece.Stop(reason, input, output, kept), new Piece.Done());
        }
        Fields in = Fields.parse(event.data());
        if (in.has("error")) {
            return List.of(failure(in));
        }
        if (!in.has("choices")) {
            return List.of(new Piece.Unknown());
        }
        List<Piece> pieces = new ArrayList<>();
        chatStart(in, pieces);
        String text = in.text("choices.0.delta.content", "");
        if (!text.isEmpty()) {
            pieces.add(new Piece.Text(text));
        }
        chatEnd(in);
        return pieces;
    }

    private void chatStart(Fields in, List<Piece> pieces) {
        if (!started) {
            started = true;
            pieces.add(new Piece.Start(in.text("id", ""), in.text("model", ""), in.whole("usage.prompt_tokens")));
        }
    }

    private void chatEnd(Fields in) {
        String finish = in.text("choices.0.finish_reason");
        if (finish != null) {
            reason = switch (finish) {
                case "length" -> "max_tokens";
                case "tool_calls" -> "tool_use";
                case "content_filter" -> "refusal";
                default -> "end_turn";
            };
        }
        if (in.has("usage")) {
            input = in.whole("usage.prompt_tokens");
            output = in.whole("usage.completion_tokens");
            kept = in.whole("usage.prompt_tokens_details.cached_tokens");
        }
    }

    private List<Piece> messages(Event event) throws IOException {
        String name = event.name();
        Fields in = null;
        if (name.isEmpty()) {
            in = Fields.parse(event.data());
            name = in.text("type", "");
        }
        if (!MESSAGE_EVENTS.contains(name)) {
            return List.of(new Piece.Unknown());
        }
        return message(name, in == null ? Fields.parse(event.data()) : in);
    }

    private List<Piece> message(String name, Fields in) {
        switch (name) {
            case "message_start" -> {
                messageUsage(in, "message.usage");
                return List.of(new Piece.Start(in.text("message.id", ""), in.text("message.model", ""), input));
            }
            case "content_block_start" -> {
                String text = in.text("content_block.text", "");
                return List.of(
                        !in.text("content_block.type", "").equals("text")
                                ? new Piece.Unknown()
                                : text.isEmpty() ? new Piece.Silent() : new Piece.Text(text));
            }
            case "content_block_delta" -> {
                return List.of(
                        in.text("delta.type", "").equals("text_delta")
                                ? new Piece.Text(in.text("delta.text", ""))
                                : new Piece.Unknown());
            }
            case "message_delta" -> {
                messageUsage(in, "usage");
                return List.of(new Piece.Stop(in.text("delta.stop_reason", "end_turn"), input, output, kept));
            }
            case "message_stop" -> {
                return List.of(new Piece.Done());
            }
            case "error" -> {
                return List.of(failure(in));
            }
            default -> {
                return List.of(new Piece.Silent());
            }
        }
    }

    private void messageUsage(Fields in, String at) {
        input = Math.max(input, in.whole(at + ".input_tokens"));
        output = Math.max(output, in.whole(at + ".output_tokens"));
        kept = Math.max(kept, in.whole(at + ".cache_read_input_tokens"));
    }

    private static Piece failure(Fields in) {
        return new Piece.Failure(in.text("error.type", "api_error"), in.text("error.message", "the target failed"));
    }

    /** The pieces of a whole answer. */
    List<Piece> whole(byte[] body) throws IOException {
        Fields in = Fields.parse(body);
        List<Piece> pieces = new ArrayList<>();
        if (dialect == Dialect.CHAT) {
            if (in.size("choices") == 0) {
                throw new IOException("not a chat completion");
            }
            chatStart(in, pieces);
            pieces.add(new Piece.Text(in.text("choices.0.message.content", "")));
            chatEnd(in);
            pieces.add(new Piece.Stop(reason, input, output, kept));
        } else {
            if (!in.text("type", "").equals("message")) {
                throw new IOException("not a message");
            }
            messageUsage(in, "usage");
            pieces.add(new Piece.Start(in.text("id", ""), in.text("model", ""), input));
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < in.size("content"); i++) {
                boolean known = in.text("content." + i + ".type", "").equals("text");
                text.append(known ? in.text("content." + i + ".text", "") : "");
                if (!known) {
                    pieces.add(new Piece.Unknown());
                }
            }
            pieces.add(new Piece.Text(text.toString()));
            pieces.add(new Piece.Stop(in.text("stop_reason", "end_turn"), input, output, kept));
        }
        pieces.add(new Piece.Done());
        return pieces;
    }
}
