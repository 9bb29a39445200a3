package fawnlb.stream;

/** How far an answer had come. */
public enum Place {
    BEFORE_HEAD("before-head"),
    BEFORE_EVENT("before-event"),
    MIDWAY("midway");

    private final String word;

    Place(String word) {
        this.word = word;
    }

    public String word() {
        return word;
    }
}
