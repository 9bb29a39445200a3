package fawnlb.client;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.UncaughtErrorHandler;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.LogLine;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import fawnlb.proxy.ClientConnection;
import fawnlb.proxy.RequestProxy;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import org.xnio.IoUtils;

/**
 * The client's side of one proxied request: sends the response, at the pace of the client, and detects that the client
 * disconnects.
 *
 * <p>An exchange ends exactly once, with a {@link ClientOutcome}. The methods of {@link ClientConnection} and
 * {@link ResponseSource.Sink}, but for {@link #isConnected} and {@link #queuedNanos}, may be called on any thread: they
 * post messages to the exchange's mailbox, which runs on the connection's I/O thread. All other methods must be called
 * on that thread.
 */
public final class ClientExchange implements ClientConnection, ResponseSource.Sink {
    private static final AttachmentKey<Long> QUEUED_NANOS = AttachmentKey.create(Long.class);
    private static final int STATUS_NOT_SENT = 0;
    private static final long NO_RETRY_AFTER = 0;

    private final HttpServerExchange exchange;
    private final Mailbox mailbox;
    private final ResponseFormatter formatter;
    private final RequestIds.Registration registration;
    private final DisconnectDetector disconnectDetector;
    private RequestProxy.RequestHandle requestHandle;
    private ResponseSource source;
    private ResponseStreamWriter streamWriter;
    private boolean streamEnded;
    /** How the exchange ended, null as long as it has not. */
    private ClientOutcome outcome;

    /**
     * Creates the client's side of a request.
     *
     * @param mailbox runs messages on the I/O thread of the exchange's connection
     * @param formatter the format of the responses, of this request alone
     * @param registration the request's id, null if it is not registered
     */
    public ClientExchange(
            HttpServerExchange exchange,
            Mailbox mailbox,
            ResponseFormatter formatter,
            RequestIds.Registration registration) {
        this.exchange = exchange;
        this.mailbox = mailbox;
        this.formatter = formatter;
        this.registration = registration;
        this.disconnectDetector = new DisconnectDetector(exchange);
    }

    /** Records how long a request may have waited before its connection was accepted, in nanoseconds. */
    static void recordQueueingDelay(HttpServerExchange exchange, long queuedNanos) {
        exchange.putAttachment(QUEUED_NANOS, queuedNanos);
    }

    @Override
    public long queuedNanos() {
        Long queuedNanos = exchange.getAttachment(QUEUED_NANOS);
        return queuedNanos == null ? 0 : queuedNanos;
    }

    /** Attaches the admitted request, which is cancelled if the client disconnects. Must be called once. */
    public void attach(RequestProxy.RequestHandle admittedRequest) {
        requestHandle = admittedRequest;
        if (registration != null) {
            registration.onSubmitted();
        }
        disconnectDetector.start(this::onReadable, () -> post(this::onClientDisconnected));
    }

    @Override
    public void onRequestEnded(boolean mayHaveRun) {
        if (registration != null) {
            registration.onRequestEnded(mayHaveRun);
        }
    }

    /** Reads the connection first: on a busy processor a client may have disconnected long before that is read. */
    @Override
    public boolean isConnected() {
        if (!isFinished() && disconnectDetector.readAll()) {
            onClientDisconnected();
        }
        return !isFinished();
    }

    private void onReadable() {
        if (isFinished()) {
            disconnectDetector.stopReading();
        } else if (disconnectDetector.readSome()) {
            onClientDisconnected();
        }
    }

    private void onClientDisconnected() {
        if (!isFinished()) {
            int status = streamWriter == null ? STATUS_NOT_SENT : formatter.backendStatus();
            finish(ClientOutcome.CLIENT_DISCONNECTED, status, AttemptEnd.of(EndReason.CLIENT_DISCONNECTED));
            cancelRequest();
            closeConnection();
        }
    }

    @Override
    public void streamResponse(ResponseSource stream) {
        post(() -> startStream(stream));
    }

    private void startStream(ResponseSource stream) {
        if (isFinished()) {
            reportLateResponse("streamed");
            stream.onSinkClosed();
            return;
        }
        source = stream;
        streamWriter = new ResponseStreamWriter(
                exchange, formatter.backendStatus(), formatter.backendContentType(), this::writeStream);
        source.streamTo(this);
    }

    @Override
    public void onChunk(ByteBuffer bytes) {
        post(() -> {
            streamWriter.setChunk(bytes);
            writeStream();
        });
    }

    @Override
    public void onComplete() {
        post(() -> {
            streamEnded = true;
            writeStream();
        });
    }

    @Override
    public void onBroken(AttemptEnd end) {
        post(() -> breakOff(end));
    }

    /** Closes the connection without a last chunk, because a truncated stream must not look complete. */
    private void breakOff(AttemptEnd end) {
        if (!isFinished()) {
            streamWriter.writeFinalEvent(formatter.formatStreamError(end));
            finish(ClientOutcome.INTERRUPTED, formatter.backendStatus(), end);
            closeConnection();
        }
    }

    private void writeStream() {
        if (isFinished()) {
            return;
        }
        int unsentBytes;
        try {
            unsentBytes = streamWriter.write();
        } catch (IOException e) {
            onClientDisconnected();
            return;
        }
        if (unsentBytes > 0) {
            onWriteBlocked(unsentBytes);
        } else {
            onWritten();
        }
    }

    private void onWriteBlocked(int unsentBytes) {
        source.onUnsentBytes(unsentBytes);
        if (!isFinished()) {
            streamWriter.resumeWrites();
        }
    }

    private void onWritten() {
        if (streamEnded) {
            finish(ClientOutcome.COMPLETED, formatter.backendStatus(), null);
            exchange.endExchange();
        } else if (streamWriter.finishChunk()) {
            source.requestNextChunk();
        }
    }

    @Override
    public void sendRejection(AttemptEnd cause, long retryAfterNanos) {
        post(() -> sendFixedResponse(formatter.formatRejection(cause), retryAfterNanos, ClientOutcome.REJECTED, cause));
    }

    @Override
    public void sendFailure(AttemptEnd cause) {
        post(() -> sendFixedResponse(formatter.formatFailure(cause), NO_RETRY_AFTER, ClientOutcome.FAILED, cause));
    }

    private void sendFixedResponse(
            FixedResponse response, long retryAfterNanos, ClientOutcome newOutcome, AttemptEnd cause) {
        if (isFinished()) {
            reportLateResponse(newOutcome.label());
            return;
        }
        finish(newOutcome, response.status(), cause);
        response.send(exchange, retryAfterNanos);
    }

    private boolean isFinished() {
        return outcome != null;
    }

    private void finish(ClientOutcome newOutcome, int status, AttemptEnd cause) {
        outcome = newOutcome;
        Metrics.increment(Metric.REQUESTS, newOutcome.label());
        if (registration != null) {
            registration.onClientOutcome(newOutcome);
        }
        disconnectDetector.release();
        formatter.onExchangeFinished(newOutcome, status, cause);
        if (streamWriter != null) {
            streamWriter.discardChunk();
        }
        if (source != null) {
            source.onSinkClosed();
        }
    }

    private void cancelRequest() {
        if (requestHandle != null) {
            requestHandle.onClientDisconnected();
        }
    }

    private void closeConnection() {
        IoUtils.safeClose(exchange.getConnection());
    }

    private void post(Runnable message) {
        mailbox.tellOrFail(message, this::onUncaughtError);
    }

    /**
     * Ends an exchange after an uncaught error. A client that has got nothing gets an error response. Where a response
     * has begun, the connection is closed, so that the response doesn't look complete.
     */
    private void onUncaughtError() {
        if (isFinished() || exchange.isResponseStarted()) {
            abort();
        } else {
            String event = LogLine.event("error response failed")
                    .requestId(requestId())
                    .toString();
            UncaughtErrorHandler.run(this::sendErrorResponse, event, this::abort);
        }
    }

    private void sendErrorResponse() {
        cancelRequest();
        sendFixedResponse(formatter.formatFailure(null), NO_RETRY_AFTER, ClientOutcome.FAILED, null);
    }

    private void abort() {
        Invariant.ANSWERED_BEFORE_CLOSE.check(
                isFinished() || exchange.isResponseStarted(), this::describeRequest, "it could not be answered");
        try {
            onClientDisconnected();
        } finally {
            closeConnection();
        }
    }

    /** Reports a response to a finished exchange, which is an error unless the client has disconnected. */
    private void reportLateResponse(String kind) {
        Invariant.ONE_FINAL_ANSWER.check(
                outcome == ClientOutcome.CLIENT_DISCONNECTED,
                this::describeRequest,
                kind + " response after the exchange ended as " + outcome.label());
    }

    private String requestId() {
        return exchange.getRequestHeaders().getFirst("X-Request-Id");
    }

    private String describeRequest() {
        return "request " + Objects.requireNonNullElse(requestId(), "without an id");
    }
}
