package fawnlb.translation;

/** The two interfaces that clients and backends speak. */
public enum Dialect {
    CHAT("/v1/chat/completions"),
    MESSAGES("/v1/messages");

    private final String path;

    Dialect(String path) {
        this.path = path;
    }

    public String path() {
        return path;
    }
}
