package fawnlb.lab.engine;

import fawnlb.lab.engine.Engine.Sequence;

/** How an engine speaks: its path and the events of its answers. */
public interface ApiFormat {
    /** Where requests are posted. */
    String path();

    /** Events that bring this text; first and last of the answer need words of their own in some dialects. */
    String textEvents(Sequence sequence, String text, boolean last);

    /** Events that end the answer. */
    String endEvents(Sequence sequence);

    /** An answer that is not streamed. */
    String completeBody(Sequence sequence, String text);

    /** Chat completions, as the platform's engines speak. */
    ApiFormat CHAT = new ApiFormat() {
        @Override
        public String path() {
            return "/v1/chat/completions";
        }

        @Override
        public String textEvents(Sequence sequence, String text, boolean last) {
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":"
                    + (last ? "\"stop\"" : "null") + "}]}\n\n";
        }

        @Override
        public String endEvents(Sequence sequence) {
            return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":" + sequence.promptTokens()
                    + ",\"completion_tokens\":"
                    + sequence.generatedTokens() + ",\"prompt_tokens_details\":{\"cached_tokens\":"
                    + sequence.cachedPromptTokens()
                    + "}}}\n\ndata: [DONE]\n\n";
        }

        @Override
        public String completeBody(Sequence sequence, String text) {
            return "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text
                    + "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":" + sequence.promptTokens()
                    + ",\"completion_tokens\":" + sequence.generatedTokens() + "}}";
        }
    };

    /** The messages interface, with its named events. */
    ApiFormat MESSAGES = new ApiFormat() {
        private String event(String name, String fields) {
            return "event: " + name + "\ndata: {\"type\":\"" + name + "\"" + fields + "}\n\n";
        }

        @Override
        public String path() {
            return "/v1/messages";
        }

        @Override
        public String textEvents(Sequence sequence, String text, boolean last) {
            String startEvents = sequence.generatedTokens() > 1
                    ? ""
                    : event(
                                    "message_start",
                                    ",\"message\":{\"id\":\"msg_1\",\"type\":\"message\","
                                            + "\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[],\"usage\":{\"input_tokens\":"
                                            + sequence.promptTokens()
                                            + ",\"cache_read_input_tokens\":" + sequence.cachedPromptTokens()
                                            + ",\"output_tokens\":1}}")
                            + event(
                                    "content_block_start",
                                    ",\"index\":0,\"content_block\":{\"type\":\"text\",\"text\":\"\"}");
            return startEvents
                    + event(
                            "content_block_delta",
                            ",\"index\":0,\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text + "\"}");
        }

        @Override
        public String endEvents(Sequence sequence) {
            return event("content_block_stop", ",\"index\":0")
                    + event(
                            "message_delta",
                            ",\"delta\":{\"stop_reason\":\"end_turn\","
                                    + "\"stop_sequence\":null},\"usage\":{\"output_tokens\":"
                                    + sequence.generatedTokens() + "}")
                    + event("message_stop", "");
        }

        @Override
        public String completeBody(Sequence sequence, String text) {
            return "{\"id\":\"msg_1\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[{\"type\":"
                    + "\"text\",\"text\":\"" + text + "\"}],\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":"
                    + sequence.promptTokens() + ",\"output_tokens\":" + sequence.generatedTokens() + "}}";
        }
    };
}
