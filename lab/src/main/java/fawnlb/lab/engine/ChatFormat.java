package fawnlb.lab.engine;

/** The chat completions API, which the platform's own engines offer. */
final class ChatFormat implements ApiFormat {
    @Override
    public String path() {
        return "/v1/chat/completions";
    }

    @Override
    public String textEvents(Sequence sequence, String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":"
                + (sequence.isComplete() ? "\"stop\"" : "null") + "}]}\n\n";
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
}
