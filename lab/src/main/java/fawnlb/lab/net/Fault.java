package fawnlb.lab.net;

/**
 * A fault in the bytes of one response.
 *
 * @param offset bytes of the response, its head included, that precede a fault with a position
 * @param pauseNanos length of a {@link Kind#PAUSE}
 */
public record Fault(Kind kind, int offset, long pauseNanos) {

    /** The kinds of fault. */
    public enum Kind {
        /** No further bytes; the connection stays open. */
        STALL,
        /** No further bytes until the pause is over. */
        PAUSE,
        /** The server closes the connection. */
        CLOSE,
        /** The server resets the connection. */
        RESET,
        /** The server ends its output, keeps reading, and leaves the connection open. */
        HALF_CLOSE,
        /** Bytes that no API format contains are inserted. */
        GARBAGE,
        /** One byte is omitted, so that the rest does not match the announced size. */
        MISSING_BYTE,
        /** The rest is sent one byte at a time. */
        BYTE_AT_A_TIME,
        /** The whole response is sent at once when it is complete. */
        BUFFERED_TO_END,
        /** A second response follows without a request. */
        DUPLICATE_RESPONSE,
        /** The size of the next chunk never ends. */
        ENDLESS_SIZE,
        /** The extension of the next chunk's size never ends. */
        ENDLESS_EXTENSION,
        /** The next chunk has a size of gigabytes, and whole events follow. */
        HUGE_CHUNK,
        /** The trailer behind the last chunk never ends, and events are missing. */
        ENDLESS_TRAILER,
        /** Comments follow instead of events. */
        ENDLESS_COMMENTS,
        /** The next event never ends. */
        ENDLESS_EVENT,
        /**
         * The next event is written slowly, for longer than a client may wait for an event; the rest follows at once.
         */
        SLOW_EVENT;

        /** Returns whether the fault occurs at the offset, rather than at the end of the response. */
        public boolean isPositional() {
            return this != BUFFERED_TO_END && this != DUPLICATE_RESPONSE;
        }

        /** Returns whether bytes follow that never become an event. */
        public boolean isEndless() {
            return switch (this) {
                case ENDLESS_SIZE, ENDLESS_EXTENSION, HUGE_CHUNK, ENDLESS_TRAILER, ENDLESS_COMMENTS, ENDLESS_EVENT ->
                    true;
                default -> false;
            };
        }

        /** Returns whether the fault is one of the progress of a stream: it begins behind a whole chunk. */
        public boolean concernsProgress() {
            return isEndless() || this == SLOW_EVENT;
        }

        /** Returns whether the client can still read the complete response. */
        public boolean isHarmless() {
            return this == PAUSE
                    || this == BYTE_AT_A_TIME
                    || this == BUFFERED_TO_END
                    || this == DUPLICATE_RESPONSE
                    || this == SLOW_EVENT;
        }
    }
}
