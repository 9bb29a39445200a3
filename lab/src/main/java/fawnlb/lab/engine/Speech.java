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
    };
}
