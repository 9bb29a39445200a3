package fawnlb.translation;

/** An HTTP interface of language-model servers, spoken by clients and by backends. */
public enum Dialect {
    /** Chat completions: a stream of unnamed events that ends with {@code [DONE]}. */
    CHAT("/v1/chat/completions"),

    /** Messages: a stream of named events that ends with {@code message_stop}. */
    MESSAGES("/v1/messages");

    private final String path;

    Dialect(String path) {
        this.path = path;
    }

    /** Returns the path that requests of this dialect are posted to. */
    public String path() {
        return path;
    }

    /** Returns the dialect that requests of this one can be translated to. */
    public Dialect other() {
        return this == CHAT ? MESSAGES : CHAT;
    }
}
