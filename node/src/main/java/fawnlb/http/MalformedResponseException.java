package fawnlb.http;

/** A backend's response that can't be parsed as HTTP/1.1. Its connection can't be used again. */
public final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1;

    /** The part of the response that is malformed. */
    public enum Section {
        /** Status line or headers. */
        HEAD,
        /** Framing of the body. */
        BODY
    }

    private final Section section;

    MalformedResponseException(Section section, MalformedMessageException cause) {
        super(cause.getMessage(), cause);
        this.section = section;
    }

    /** The part of the response that is malformed. */
    public Section section() {
        return section;
    }
}
