package fawnlb.server;

import fawnlb.translation.Dialect;

/** Server-sent events and bodies of a response with the text {@code Hello}, as backends of one dialect send them. */
record DialectEvents(Dialect dialect) {
    private boolean isChat() {
        return dialect == Dialect.CHAT;
    }

    String start() {
        return isChat()
                ? ""
                : "event: message_start\ndata: {\"message\":{\"id\":\"m\",\"model\":\"m\",\"usage\":{\"input_tokens\":4}}}\n\n";
    }

    String text(String text) {
        return isChat()
                ? "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
                : "event: content_block_delta\ndata: {\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text
                        + "\"}}\n\n";
    }

    /** Returns the finish reason, the usage of 4 and 3 tokens, and the final event. */
    String end() {
        return isChat()
                ? "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                        + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":3}}\n\n"
                        + finalEvent() + "\n\n"
                : "event: message_delta\ndata: {\"delta\":{\"stop_reason\":\"end_turn\"},\"usage\":{\"output_tokens\":3}}\n\n"
                        + finalEvent() + "\ndata: {\"type\":\"message_stop\"}\n\n";
    }

    /** Returns the line that only a complete stream has. */
    String finalEvent() {
        return isChat() ? "data: [DONE]" : "event: message_stop";
    }

    String body() {
        return isChat()
                ? "{\"choices\":[{\"message\":{\"content\":\"Hello\"}}]}"
                : "{\"type\":\"message\",\"content\":[{\"type\":\"text\",\"text\":\"Hello\"}]}";
    }
}
