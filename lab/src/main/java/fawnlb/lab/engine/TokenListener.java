package fawnlb.lab.engine;

/** Receives the generated tokens of a {@link Sequence}. */
public interface TokenListener {
    /** A step has generated one more token; {@code last} tells whether the sequence is complete with it. */
    void onToken(boolean last);
}
