package fawnlb.lab.net;

/**
 * What is done to the bytes of one answer. {@code offset}: how many bytes of the answer, its head included, come before
 * it strikes; {@code pauseNanos}: nanoseconds, where the answer goes on.
 */
public record Fault(Kind kind, int offset, long pauseNanos) {

    /** What can be done to an answer's bytes. */
    public enum Kind {
        /** No further byte, and the connection stays open. */
        STALL(true),
        /** No further byte for a while. */
        PAUSE(true),
        /** The connection ends. */
        CLOSE(true),
        /** The connection is reset. */
        RESET(true),
        /** The server's sending ends; it reads on and keeps the connection. */
        HALF_CLOSE(true),
        /** Bytes that no dialect has, between those of the answer. */
        GARBAGE(true),
        /** A byte is left out, so that what follows does not fit the size that was announced. */
        MISSING_BYTE(true),
        /** From here on one byte at a time. */
        BYTE_AT_A_TIME(true),
        /** All of it at once at the end. */
        BUFFERED_TO_END(false),
        /** A second answer right behind. */
        DUPLICATE_RESPONSE(false);

        private final boolean positional;

        Kind(boolean positional) {
            this.positional = positional;
        }

        /** Whether it matters where it strikes. */
        public boolean isPositional() {
            return positional;
        }

        /** Whether the answer is whole for all that. */
        public boolean isHarmless() {
            return this == PAUSE || this == BYTE_AT_A_TIME || this == BUFFERED_TO_END || this == DUPLICATE_RESPONSE;
        }
    }
}
