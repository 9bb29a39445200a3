package fawnlb.backend;

import fawnlb.proxy.IncomingRequest;
import fawnlb.translation.Dialect;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A request in the form in which it goes to a backend.
 *
 * @param dialect the client's dialect
 * @param path the path with its query, as the client sent it
 * @param requestId the id that the client gave the request
 * @param idempotencyKey by which backends recognise a repeated request, as the client sent it; null if it sent none
 * @param isStreamed whether the client asked for a stream of events
 * @param bodies the body in the dialects that backends speak
 * @param responseSummary is filled in with what the response shows
 */
public record OutboundRequest(
        Dialect dialect,
        String path,
        String requestId,
        String idempotencyKey,
        boolean isStreamed,
        RequestBodies bodies,
        ResponseSummary responseSummary)
        implements IncomingRequest.RequestPayload {
    /** A header that goes from the client to the backend unchanged. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** What a backend's response has shown, for the log and the budgets. Belongs to the request's event loop. */
    public static final class ResponseSummary {
        private final boolean collectsUsage;
        private Dialect backendDialect;
        private int status = 200;
        private int skippedEvents;
        private long tokens;
        private boolean hasFinished;

        private ResponseSummary(boolean collectsUsage) {
            this.collectsUsage = collectsUsage;
        }

        /** Returns an empty summary in which tokens and events are counted, which costs parsing the response. */
        public static ResponseSummary withUsage() {
            return new ResponseSummary(true);
        }

        /** Returns an empty summary of a response that is not parsed for its usage. */
        public static ResponseSummary withoutUsage() {
            return new ResponseSummary(false);
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

        /** The status of the backend's response, 200 before there is one. */
        public int status() {
            return status;
        }

        /** The dialect of the backend that responded, null if none did. */
        public Dialect backendDialect() {
            return backendDialect;
        }

        /** Whether the last event of a stream was read, even if the connection broke after it. */
        public boolean hasFinished() {
            return hasFinished;
        }

        /** Events of unknown types; a translation leaves them out, otherwise they are relayed unread. */
        public int skippedEvents() {
            return skippedEvents;
        }

        /** The tokens of prompt and response as the backend has counted them, 0 if it did not. */
        public long tokens() {
            return tokens;
        }
    }

    @Override
    public void release() {
        bodies.release();
    }

    /**
     * Encodes the request's head, and returns it with the body, which is not copied.
     *
     * @param backendDialect the dialect of the body
     * @param host the value of the header Host
     * @param remainingNanos how long the client can wait from now on; to be computed when the request is written, so
     *     that the header never states more time than is left
     */
    ByteBuffer[] encode(byte[] body, Dialect backendDialect, String host, long remainingNanos) {
        byte[] head = ("POST " + (backendDialect == dialect ? path : backendDialect.path()) + " HTTP/1.1\r\nHost: "
                        + host
                        + "\r\nX-Request-Id: " + requestId
                        + (idempotencyKey == null ? "" : "\r\n" + IDEMPOTENCY_KEY + ": " + idempotencyKey)
                        + "\r\nX-Deadline-Ms: " + remainingNanos / 1_000_000
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(body)};
    }
}
