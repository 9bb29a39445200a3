package fawnlb.stream;

/** How far an answer had come. */
public enum ResponseProgress {
    BEFORE_HEAD("before-head"),
    BEFORE_FIRST_EVENT("before-event"),
    AFTER_FIRST_EVENT("midway");

    private final String label;

    ResponseProgress(String label) {
        this.label = label;
    }

    public String label() {
        return label;
    }
}
