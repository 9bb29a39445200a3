package fawnlb.client;

import fawnlb.eventloop.Mailbox;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import fawnlb.proxy.ClientConnection;
import fawnlb.proxy.RequestProxy;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import fawnlb.stream.EndReason;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The actor of one client's exchange: passes the answer on as it comes, and sees the client leave. */
public final class ClientExchange implements ClientConnection, ResponseSource.Sink {
    private static final Logger LOG = Logger.getLogger(ClientExchange.class.getName());
    private static final AttachmentKey<CurrentExchange> CURRENT_EXCHANGE = AttachmentKey.create(CurrentExchange.class);
    private static final AttachmentKey<Long> QUEUED_NANOS = AttachmentKey.create(Long.class);

    /** The ends of an event, as the last bytes that were passed on. */
    private static final int EVENT_END_LF = 0x0a0a;

    private static final int EVENT_END_CRLF = 0x0d0a0d0a;

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final Mailbox mailbox;
    private final ResponseFormatter formatter;
    private CurrentExchange currentExchange;
    private RequestProxy.RequestHandle requestHandle;
    private ResponseSource source;
    private StreamSinkChannel responseChannel;
    private ByteBuffer pendingChunk;
    private int lastBytes;
    private boolean streamEnded;
    private boolean finished;
    private ClientOutcome outcome;

    public ClientExchange(HttpServerExchange exchange, Mailbox mailbox, ResponseFormatter formatter) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.mailbox = mailbox;
        this.formatter = formatter;
    }

    /** Notes for how long the request may have waited before its connection was accepted, in nanoseconds. */
    static void recordQueueingDelay(HttpServerExchange exchange, long queuedNanos) {
        exchange.putAttachment(QUEUED_NANOS, queuedNanos);
    }

    @Override
    public long queuedNanos() {
        Long queuedNanos = exchange.getAttachment(QUEUED_NANOS);
        return queuedNanos == null ? 0 : queuedNanos;
    }

    /** From here on the exchange answers for the flow, and tells it if the client leaves. */
    public void attach(RequestProxy.RequestHandle admittedRequest) {
        requestHandle = admittedRequest;
        connection.getChannel().getSourceChannel().setReadListener(c -> readAhead());
        connection.getOriginalSourceConduit().resumeReads();
        currentExchange = connection.getAttachment(CURRENT_EXCHANGE);
        if (currentExchange == null) {
            currentExchange = new CurrentExchange();
            connection.putAttachment(CURRENT_EXCHANGE, currentExchange);
            CurrentExchange watchedExchange = currentExchange;
            connection.addCloseListener(c -> watchedExchange.onConnectionClosed());
        }
        currentExchange.exchange = this;
    }

    /**
     * Which exchange a connection is serving. A connection keeps its close listeners for as long as it stays open: with
     * one for each exchange it would keep every request that it ever carried.
     */
    private static final class CurrentExchange {
        private ClientExchange exchange;

        void onConnectionClosed() {
            ClientExchange last = exchange;
            if (last != null) {
                last.post(last::onClientDisconnected);
            }
        }
    }

    private void post(Runnable message) {
        mailbox.tellOrFail(message, this::onUncaughtError);
    }

    /**
     * Something threw that nobody expected. A client that has got nothing is told so; where its answer has begun, its
     * connection ends, so that nothing looks finished.
     */
    private void onUncaughtError() {
        try {
            if (!finished && !exchange.isResponseStarted()) {
                cancelRequest();
                sendFixedResponse(formatter.formatFailure(null), 0, ClientOutcome.FAILED, null);
                return;
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a failure could not be answered", e);
        }
        Invariant.ANSWERED_BEFORE_CLOSE.check(
                finished || exchange.isResponseStarted(), this::requestId, "it could not be answered");
        try {
            onClientDisconnected();
        } finally {
            IoUtils.safeClose(connection);
        }
    }

    private String requestId() {
        return "request "
                + Objects.requireNonNullElse(exchange.getRequestHeaders().getFirst("X-Request-Id"), "without an id");
    }

    /** An answer for a request that is over: of no use where its client has left, and a fault where it had one. */
    private void reportLateAnswer(String answer) {
        Invariant.ONE_FINAL_ANSWER.check(
                outcome == ClientOutcome.CLIENT_DISCONNECTED, this::requestId, answer + " after it was " + outcome);
    }

    private void cancelRequest() {
        if (requestHandle != null) {
            requestHandle.onClientDisconnected();
        }
    }

    /** Told once, at the end of the exchange. */
    private void finishAs(ClientOutcome clientOutcome, int status, AttemptEnd cause) {
        finished = true;
        outcome = clientOutcome;
        Metrics.increment(Metric.REQUESTS, clientOutcome.label());
        if (currentExchange != null) {
            currentExchange.exchange = null;
        }
        formatter.onExchangeFinished(clientOutcome, status, cause);
        if (source != null) {
            source.onSinkClosed();
        }
    }

    /** On a busy processor a client can have left long before anybody reads that it has. */
    @Override
    public boolean isConnected() {
        if (!finished) {
            readAhead();
        }
        return !finished;
    }

    /**
     * Undertow does not read while a request is served. We do, to see the client leave, be it behind bytes of its next
     * request.
     */
    private void readAhead() {
        if (finished) {
            // What comes while the answer is still on its way out must not call us again and again.
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        PooledByteBuffer readAheadBuffer = connection.getExtraBytes();
        if (readAheadBuffer == null) {
            readAheadBuffer = connection.getByteBufferPool().allocate();
            readAheadBuffer.getBuffer().limit(0);
            connection.setExtraBytes(readAheadBuffer);
        }
        ByteBuffer bytes = readAheadBuffer.getBuffer();
        bytes.compact();
        if (!bytes.hasRemaining()) {
            // Clients ask for one thing at a time. One that sends so much ahead is not read for more than its leaving.
            exchange.setPersistent(false);
            bytes.clear();
        }
        boolean disconnected;
        try {
            disconnected = connection.getOriginalSourceConduit().read(bytes) < 0;
        } catch (IOException e) {
            disconnected = true;
        }
        bytes.flip();
        if (!bytes.hasRemaining()) {
            readAheadBuffer.close();
            connection.setExtraBytes(null);
        }
        if (disconnected) {
            onClientDisconnected();
        }
    }

    private void onClientDisconnected() {
        if (!finished) {
            finishAs(
                    ClientOutcome.CLIENT_DISCONNECTED,
                    responseChannel == null ? 0 : formatter.backendStatus(),
                    AttemptEnd.of(EndReason.CLIENT_DISCONNECTED));
            cancelRequest();
            IoUtils.safeClose(connection);
        }
    }

    @Override
    public void streamResponse(ResponseSource stream) {
        post(() -> {
            if (finished) {
                reportLateAnswer("a stream came");
                stream.onSinkClosed();
                return;
            }
            source = stream;
            exchange.setStatusCode(formatter.backendStatus());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, formatter.backendContentType());
            // Undertow sends no chunks on a connection that is to close: a cut stream would look whole.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
            responseChannel = exchange.getResponseChannel();
            responseChannel.getWriteSetter().set(c -> write());
            source.streamTo(this);
        });
    }

    @Override
    public void onChunk(ByteBuffer bytes) {
        post(() -> {
            for (int i = Math.max(bytes.position(), bytes.limit() - Integer.BYTES); i < bytes.limit(); i++) {
                lastBytes = lastBytes << Byte.SIZE | bytes.get(i) & 0xff;
            }
            pendingChunk = bytes;
            write();
        });
    }

    @Override
    public void onComplete() {
        post(() -> {
            streamEnded = true;
            write();
        });
    }

    @Override
    public void onBroken(AttemptEnd attemptEnd) {
        post(() -> {
            if (!finished) {
                // Closed without a last chunk: a cut stream must not look finished.
                writeErrorEvent(attemptEnd);
                finishAs(ClientOutcome.INTERRUPTED, formatter.backendStatus(), attemptEnd);
                IoUtils.safeClose(connection);
            }
        });
    }

    /**
     * A front's last words on a broken stream go out in one piece or not at all: a client that reads too slowly must
     * not keep the connection, and behind half an event they would be taken for the rest of it.
     */
    private void writeErrorEvent(AttemptEnd attemptEnd) {
        String errorEvent = formatter.formatStreamError(attemptEnd);
        if (errorEvent.isEmpty()
                || pendingChunk != null
                || (lastBytes & 0xffff) != EVENT_END_LF && lastBytes != EVENT_END_CRLF) {
            return;
        }
        try {
            responseChannel.write(ByteBuffer.wrap(errorEvent.getBytes(StandardCharsets.UTF_8)));
            responseChannel.flush();
        } catch (IOException e) {
            // The client has left at the same moment.
        }
    }

    private void write() {
        if (finished) {
            return;
        }
        try {
            while (pendingChunk != null && pendingChunk.hasRemaining()) {
                if (responseChannel.write(pendingChunk) == 0) {
                    reportUnwritten(pendingChunk.remaining());
                    return;
                }
            }
            if (!responseChannel.flush()) {
                reportUnwritten(1);
                return;
            }
            responseChannel.suspendWrites();
            if (streamEnded) {
                completeStream();
            } else if (pendingChunk != null) {
                pendingChunk = null;
                source.requestNextChunk();
            }
        } catch (IOException e) {
            onClientDisconnected();
        }
    }

    /** What is written last stays with the channel until it is flushed; for its reader it counts as one byte. */
    private void reportUnwritten(int unwrittenBytes) {
        source.onUnsentBytes(unwrittenBytes);
        if (!finished) {
            responseChannel.resumeWrites();
        }
    }

    @Override
    public void sendRejection(AttemptEnd cause, long retryAfterNanos) {
        post(() -> sendFixedResponse(formatter.formatRejection(cause), retryAfterNanos, ClientOutcome.REJECTED, cause));
    }

    @Override
    public void sendFailure(AttemptEnd cause) {
        post(() -> sendFixedResponse(formatter.formatFailure(cause), 0, ClientOutcome.FAILED, cause));
    }

    private void sendFixedResponse(
            FixedResponse response, long retryAfterNanos, ClientOutcome clientOutcome, AttemptEnd cause) {
        if (finished) {
            reportLateAnswer(clientOutcome + " was to be said");
            return;
        }
        finishAs(clientOutcome, response.status(), cause);
        response.send(exchange, retryAfterNanos);
    }

    private void completeStream() {
        finishAs(ClientOutcome.COMPLETED, formatter.backendStatus(), null);
        exchange.endExchange();
    }
}
