package fawnlb.lab.engine;

import fawnlb.lab.engine.Engine.Sequence;

/** How an engine speaks: its path and the events of its answers. */
public interface Speech {
    /** Where requests are posted. */
    String path();

    /** Events that bring this text; first and last of the answer need words of their own in some dialects. */
    String text(Sequence sequence, String text, boolean last);

    /** Events that end the answer. */
    String end(Sequence sequence);

    /** An answer that is not streamed. */
    String whole(Sequence sequence, String text);

    /** Chat completions, as the platform's engines speak. */
    Speech CHAT = new Speech() {
        @Override
        public String path() {
            return "/v1/chat/completions";
        }

        @Override
        public String text(Sequence sequence, String text, boolean last) {
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":"
                    + (last ? "\"stop\"" : "null") + "}]}\n\n";
        }

        @Override
        public String end(Sequence sequence) {
            return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":" + sequence.prompt() + ",\"completion_tokens\":"
                    + sequence.made() + ",\"prompt_tokens_details\":{\"cached_tokens\":" + sequence.found()
                    + "}}}\n\ndata: [DONE]\n\n";
        }

        @Override
        public String whole(Sequence sequence, String text) {
            return "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + text
                    + "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":" + sequence.prompt()
                    + ",\"completion_tokens\":" + sequence.made() + "}}";
        }
    };

    /** The messages interface, with its named events. */
    Speech MESSAGES = new Speech() {
        private String event(String name, String fields) {
            return "event: " + name + "\ndata: {\"type\":\"" + name + "\"" + fields + "}\n\n";
        }

        @Override
        public String path() {
            return "/v1/messages";
        }

        @Override
        public String text(Sequence sequence, String text, boolean last) {
            String begin = sequence.made() > 1
                    ? ""
                    : event(
                                    "message_start",
                                    ",\"message\":{\"id\":\"msg_1\",\"type\":\"message\","
                                            + "\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[],\"usage\":{\"input_tokens\":"
                                            + sequence.prompt()
                                            + ",\"cache_read_input_tokens\":" + sequence.found()
                                            + ",\"output_tokens\":1}}")
                            + event(
                                    "content_block_start",
                                    ",\"index\":0,\"content_block\":{\"type\":\"text\",\"text\":\"\"}");
            return begin
                    + event(
                            "content_block_delta",
                            ",\"index\":0,\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text + "\"}");
        }

        @Override
        public String end(Sequence sequence) {
            return event("content_block_stop", ",\"index\":0")
                    + event(
                            "message_delta",
                            ",\"delta\":{\"stop_reason\":\"end_turn\","
                                    + "\"stop_sequence\":null},\"usage\":{\"output_tokens\":" + sequence.made() + "}")
                    + event("message_stop", "");
        }

        @Override
        public String whole(Sequence sequence, String text) {
            return "{\"id\":\"msg_1\",\"type\":\"message\",\"role\":\"assistant\",\"model\":\"advisor\",\"content\":[{\"type\":"
                    + "\"text\",\"text\":\"" + text + "\"}],\"stop_reason\":\"end_turn\",\"usage\":{\"input_tokens\":"
                    + sequence.prompt() + ",\"output_tokens\":" + sequence.made() + "}}";
        }
    };
}
