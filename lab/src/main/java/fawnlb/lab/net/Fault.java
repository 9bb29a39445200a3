package fawnlb.lab.net;

/**
 * What is done to the bytes of one answer. {@code at}: how many bytes of the answer, its head included, come before it
 * strikes; {@code pause}: nanoseconds, where the answer goes on.
 */
public record Fault(Kind kind, int at, long pause) {

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
        WRONG_SIZE(true),
        /** From here on one byte at a time. */
        DRIP(true),
        /** All of it at once at the end. */
        BURST(false),
        /** A second answer right behind. */
        SECOND(false);

        private final boolean placed;

        Kind(boolean placed) {
            this.placed = placed;
        }

        /** Whether it matters where it strikes. */
        public boolean placed() {
            return placed;
        }

        /** Whether the answer is whole for all that. */
        public boolean harmless() {
            return this == PAUSE || this == DRIP || this == BURST || this == SECOND;
        }
    }
}
