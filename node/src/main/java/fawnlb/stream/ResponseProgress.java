package fawnlb.stream;

/** How far a response has come; the label is part of an end's name. */
public enum ResponseProgress {
    BEFORE_HEAD("before-head"),
    BEFORE_FIRST_EVENT("before-event"),
    AFTER_FIRST_EVENT("midway");

    private final String label;

    ResponseProgress(String label) {
        this.label = label;
    }

    /** The progress in the label of an attempt's end. */
    public String label() {
        return label;
    }
}
