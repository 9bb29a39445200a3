package fawnlb.lab.engine;

/** A request inside an {@link Engine} and its progress. All lengths are in tokens. */
public final class Sequence {
    final long session;
    final long prefix;
    final int promptTokens;
    final int prefixTokens;
    final int outputTokens;
    final TokenListener listener;
    int remainingPromptTokens;
    int generatedTokens;
    int cachedPromptTokens;

    /**
     * Creates a sequence that has not been offered to an engine yet.
     *
     * @param session cache key of the conversation
     * @param prefix cache key of the prompt prefix that other sessions share; 0 for none
     * @param prefixTokens length of that prefix
     * @param outputTokens tokens to generate; at least one is generated
     */
    public Sequence(
            long session, long prefix, int promptTokens, int prefixTokens, int outputTokens, TokenListener listener) {
        this.session = session;
        this.prefix = prefix;
        this.promptTokens = promptTokens;
        this.prefixTokens = prefixTokens;
        this.outputTokens = Math.max(1, outputTokens);
        this.listener = listener;
    }

    /** Returns the length of the prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the number of tokens generated so far. */
    public int generatedTokens() {
        return generatedTokens;
    }

    /** Returns how many prompt tokens the engine found in its cache. */
    public int cachedPromptTokens() {
        return cachedPromptTokens;
    }

    /** Returns whether all tokens have been generated. */
    boolean isComplete() {
        return generatedTokens == outputTokens;
    }

    /** Returns the memory that the sequence may need in all. */
    int reservedTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns whether the whole prompt has been processed, so that each further step generates a token. */
    boolean isDecoding() {
        return remainingPromptTokens == 0;
    }
}
