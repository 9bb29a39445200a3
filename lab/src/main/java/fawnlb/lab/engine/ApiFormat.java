package fawnlb.lab.engine;

/** The API that an engine offers: its path, and the texts of its answers. Implementations are stateless. */
public interface ApiFormat {
    /** Chat completions. */
    ApiFormat CHAT = new ChatFormat();

    /** The messages API. */
    ApiFormat MESSAGES = new MessagesFormat();

    /** Returns the path that completion requests are posted to. */
    String path();

    /**
     * Returns the events that carry this text, the latest of the sequence; some formats mark the first and the last.
     */
    String textEvents(Sequence sequence, String text);

    /** Returns the events that end a streamed answer. */
    String endEvents(Sequence sequence);

    /** Returns the body of an answer that is not streamed. */
    String completeBody(Sequence sequence, String text);
}
