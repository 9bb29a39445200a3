package fawnlb.lab.engine;

/** The messages API with its named events. */
final class MessagesFormat implements ApiFormat {
    @Override
    public String path() {
        return "/v1/messages";
    }

    @Override
    public String textEvents(Sequence sequence, String text) {
        String fields = ",\"index\":0,\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text + "\"}";
        String delta = event("content_block_delta", fields);
        return sequence.generatedTokens() > 1 ? delta : startEvents(sequence) + delta;
    }

    private static String startEvents(Sequence sequence) {
        String message =
                ",\"message\":{\"id\":\"msg_1\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"advisor\","
                        + "\"content\":[],\"usage\":{\"input_tokens\":" + sequence.promptTokens()
                        + ",\"cache_read_input_tokens\":" + sequence.cachedPromptTokens() + ",\"output_tokens\":1}}";
        String block = ",\"index\":0,\"content_block\":{\"type\":\"text\",\"text\":\"\"}";
        return event("message_start", message) + event("content_block_start", block);
    }

    @Override
    public String endEvents(Sequence sequence) {
        String delta = ",\"delta\":{\"stop_reason\":\"end_turn\",\"stop_sequence\":null},\"usage\":{\"output_tokens\":"
                + sequence.generatedTokens() + "}";
        return event("content_block_stop", ",\"index\":0") + event("message_delta", delta) + event("message_stop", "");
    }

    @Override
    public String completeBody(Sequence sequence, String text) {
        return "{\"id\":\"msg_1\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[{\"type\":"
                + "\"text\",\"text\":\"" + text + "\"}],\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":"
                + sequence.promptTokens() + ",\"output_tokens\":" + sequence.generatedTokens() + "}}";
    }

    private static String event(String name, String fields) {
        return "event: " + name + "\ndata: {\"type\":\"" + name + "\"" + fields + "}\n\n";
    }
}
