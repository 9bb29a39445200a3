package fawnlb.backend;

import fawnlb.dialect.Dialect;
import fawnlb.flow.Ask;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A request as it goes to a backend: path with query, id and body as the client sent them. {@code translated}: the body
 * in the other dialect, null where no backend speaks it. {@code idempotencyKey}: by which backends know a repeat, as
 * the client sent it, null if it sent none.
 */
public record Parcel(
        Dialect dialect,
        String path,
        String id,
        String idempotencyKey,
        boolean stream,
        byte[] body,
        byte[] translated,
        Tally tally)
        implements Ask.Parcel {
    /** The header of a client for its backend: a node reads nothing in it, and must not lose it. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** What a backend's answer told of itself; belongs to the I/O thread. */
    public static final class Tally {
        private final boolean counts;
        private Dialect spoken;
        private int status = 200;
        private int skipped;
        private long tokens;
        private boolean finished;

        /** Counts: someone wants to know of tokens and events, which costs reading them. */
        public Tally(boolean counts) {
            this.counts = counts;
        }

        boolean counts() {
            return counts;
        }

        void note(Dialect dialect, int unknown, long used, boolean lastEvent) {
            finished = lastEvent;
            spoken = dialect;
            skipped = unknown;
            tokens = used;
        }

        void answers(int given) {
            status = given;
        }

        /** The status that the backend's answer came with. */
        public int status() {
            return status;
        }

        /** The dialect of the backend that answered, null if none did. */
        public Dialect spoken() {
            return spoken;
        }

        /** Whether the last event of a streamed answer has come, though the connection may have broken behind it. */
        public boolean finished() {
            return finished;
        }

        /** Unknown events that were skipped, or passed on unread between speakers of one dialect. */
        public int skipped() {
            return skipped;
        }

        public long tokens() {
            return tokens;
        }
    }

    boolean speaks(Dialect other) {
        return dialect == other || translated != null;
    }

    /**
     * Head and body; the body is not copied, since it stays for another attempt anyhow.
     *
     * @param patience how long the client can wait from now on, in nanoseconds; to be asked for when the bytes are
     *     written, so that a backend is never told of more than is left
     */
    ByteBuffer[] request(Dialect to, String host, long patience) {
        byte[] content = to == dialect ? body : translated;
        byte[] head = ("POST " + (to == dialect ? path : to.path()) + " HTTP/1.1\r\nHost: " + host
                        + "\r\nX-Request-Id: " + id
                        + (idempotencyKey == null ? "" : "\r\n" + IDEMPOTENCY_KEY + ": " + idempotencyKey)
                        + "\r\nX-Deadline-Ms: " + patience / 1_000_000
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(content)};
    }
}
