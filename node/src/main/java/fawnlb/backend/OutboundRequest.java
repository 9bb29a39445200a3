package fawnlb.backend;

import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A request as it goes to a backend: path with query, id and body as the client sent them. {@code translatedBody}: the
 * body in the other dialect, null where no backend speaks it. {@code idempotencyKey}: by which backends know a repeat,
 * as the client sent it, null if it sent none.
 */
public record OutboundRequest(
        Dialect dialect,
        String path,
        String id,
        String idempotencyKey,
        boolean isStreamed,
        byte[] body,
        byte[] translatedBody,
        ResponseSummary responseSummary)
        implements IncomingRequest.RequestPayload {
    /** The header of a client for its backend: a node reads nothing in it, and must not lose it. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** What a backend's answer told of itself; belongs to the I/O thread. */
    public static final class ResponseSummary {
        private final boolean collectsUsage;
        private Dialect backendDialect;
        private int status = 200;
        private int skippedEvents;
        private long tokens;
        private boolean hasFinished;

        /** Counts: someone wants to know of tokens and events, which costs reading them. */
        public ResponseSummary(boolean counts) {
            this.collectsUsage = counts;
        }

        boolean collectsUsage() {
            return collectsUsage;
        }

        void recordUsage(Dialect dialect, int skipped, long usedTokens, boolean lastEventReceived) {
            hasFinished = lastEventReceived;
            backendDialect = dialect;
            skippedEvents = skipped;
            tokens = usedTokens;
        }

        void setStatus(int responseStatus) {
            status = responseStatus;
        }

        /** The status that the backend's answer came with. */
        public int status() {
            return status;
        }

        /** The dialect of the backend that answered, null if none did. */
        public Dialect backendDialect() {
            return backendDialect;
        }

        /** Whether the last event of a streamed answer has come, though the connection may have broken behind it. */
        public boolean hasFinished() {
            return hasFinished;
        }

        /** Unknown events that were skipped, or passed on unread between speakers of one dialect. */
        public int skippedEvents() {
            return skippedEvents;
        }

        public long tokens() {
            return tokens;
        }
    }

    boolean canBeSentAs(Dialect backendDialect) {
        return dialect == backendDialect || translatedBody != null;
    }

    /**
     * Head and body; the body is not copied, since it stays for another attempt anyhow.
     *
     * @param remainingNanos how long the client can wait from now on, in nanoseconds; to be asked for when the bytes
     *     are written, so that a backend is never told of more than is left
     */
    ByteBuffer[] encode(Dialect backendDialect, String host, long remainingNanos) {
        byte[] content = backendDialect == dialect ? body : translatedBody;
        byte[] head = ("POST " + (backendDialect == dialect ? path : backendDialect.path()) + " HTTP/1.1\r\nHost: "
                        + host
                        + "\r\nX-Request-Id: " + id
                        + (idempotencyKey == null ? "" : "\r\n" + IDEMPOTENCY_KEY + ": " + idempotencyKey)
                        + "\r\nX-Deadline-Ms: " + remainingNanos / 1_000_000
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(content)};
    }
}
