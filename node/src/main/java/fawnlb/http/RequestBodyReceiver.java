package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.UncaughtErrorHandler;
import fawnlb.http.RequestBodyReader.RejectionHandler;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Receives the body of one request. Reads the connection's bytes below Undertow's own framing. */
@EventLoopOnly
final class RequestBodyReceiver {
    /** The largest body that the protocol allows. */
    private static final int MAX_BODY_BYTES = 256 * 1024;
    /** Most bodies fit in the first buffer; a larger one doubles it until it fits. */
    private static final int INITIAL_BUFFER_BYTES = 8 * 1024;
    /** A client that stops in the middle of its body must get an error within 3 s of its connect. */
    private static final long BODY_TIMEOUT_MS = 2000;
    /** Bodies are in memory for as long as their requests run, so a second later there may be room. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final BodyMemoryBudget memory;
    private final BiConsumer<HttpServerExchange, byte[]> onBody;
    private final RejectionHandler onRejected;
    private BodyFraming framing;
    private ByteBuffer body = ByteBuffer.allocate(0);
    private int reservedBytes;
    private XnioExecutor.Key timeout;
    private boolean done;

    RequestBodyReceiver(
            HttpServerExchange exchange,
            BodyMemoryBudget memory,
            BiConsumer<HttpServerExchange, byte[]> onBody,
            RejectionHandler onRejected) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.memory = memory;
        this.onBody = onBody;
        this.onRejected = onRejected;
    }

    /** Starts to receive the body. Must be called once. */
    void begin() {
        exchange.addExchangeCompleteListener((completed, next) -> {
            stopReading();
            releaseBody();
            next.proceed();
        });
        long declaredBytes = Math.max(0, exchange.getRequestContentLength());
        if (declaredBytes > MAX_BODY_BYTES) {
            reject(bodyTooLarge());
        } else if (exchange.isRequestComplete()) {
            done = true;
            onBody.accept(exchange, new byte[0]);
        } else {
            framing = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)
                    ? BodyFraming.chunked(MAX_BODY_BYTES)
                    : BodyFraming.fixedLength(declaredBytes);
            startReading();
        }
    }

    private void startReading() {
        timeout = exchange.getIoThread().executeAfter(this::onTimeout, BODY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        connection.getChannel().getSourceChannel().setReadListener(c -> onReadable());
        if (HttpContinue.requiresContinueResponse(exchange)) {
            HttpContinue.sendContinueResponse(exchange, new ContinueCallback());
        } else {
            onReadable();
        }
    }

    private final class ContinueCallback implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange completed, Sender sender) {
            onReadable();
        }

        @Override
        public void onException(HttpServerExchange failed, Sender sender, IOException e) {
            onClientDisconnected();
        }
    }

    private void onTimeout() {
        reject(new InvalidRequestException(
                StatusCodes.REQUEST_TIME_OUT, InvalidRequestException.BODY, "the body did not come"));
    }

    private void onReadable() {
        UncaughtErrorHandler.run(this::readAvailable, "request body handler failed", () -> {
            stopReading();
            releaseBody();
            onRejected.reject(exchange, StatusCodes.INTERNAL_SERVER_ERROR, "failed");
        });
    }

    private void readAvailable() {
        while (!done && readOnce()) {
            // Each pass reads one buffer.
        }
    }

    /**
     * Decodes one buffer of bytes, at first those that Undertow read together with the head. Returns false if no bytes
     * are available now.
     */
    private boolean readOnce() {
        PooledByteBuffer readAhead = connection.getExtraBytes();
        connection.setExtraBytes(null);
        PooledByteBuffer pooled =
                readAhead == null ? connection.getByteBufferPool().allocate() : readAhead;
        boolean isBodyComplete;
        boolean belongsToNextRequest = false;
        try {
            if (readAhead == null && !read(pooled.getBuffer())) {
                return false;
            }
            isBodyComplete = decodeOrReject(pooled.getBuffer());
            belongsToNextRequest = isBodyComplete && pooled.getBuffer().hasRemaining();
            if (belongsToNextRequest) {
                connection.setExtraBytes(pooled);
            }
        } finally {
            if (!belongsToNextRequest) {
                pooled.close();
            }
        }
        if (isBodyComplete) {
            complete();
        }
        return true;
    }

    /** Reads from the connection, and returns whether that brought any bytes. */
    private boolean read(ByteBuffer buffer) {
        int count;
        try {
            count = connection.getOriginalSourceConduit().read(buffer);
        } catch (IOException e) {
            onClientDisconnected();
            return false;
        }
        buffer.flip();
        if (count <= 0) {
            onNoBytes(count);
        }
        return count > 0;
    }

    private void onNoBytes(int count) {
        if (count < 0) {
            onClientDisconnected();
        } else {
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private boolean decodeOrReject(ByteBuffer input) {
        try {
            return decode(input);
        } catch (InvalidRequestException e) {
            reject(e);
        } catch (ResourceExhaustedException e) {
            reject(e);
        }
        return false;
    }

    /** Returns true once the body is complete. Bytes that follow the body stay in the input. */
    private boolean decode(ByteBuffer input) throws InvalidRequestException, ResourceExhaustedException {
        try {
            framing.decode(input, body);
            while (input.hasRemaining() && !framing.isComplete()) {
                growBuffer();
                framing.decode(input, body);
            }
            return framing.isComplete();
        } catch (MalformedMessageException e) {
            throw new InvalidRequestException(
                    StatusCodes.BAD_REQUEST,
                    InvalidRequestException.BODY,
                    "the body can't be read: " + e.getMessage(),
                    e);
        }
    }

    private void growBuffer() throws InvalidRequestException, ResourceExhaustedException {
        int newCapacity = Math.min(MAX_BODY_BYTES, Math.max(INITIAL_BUFFER_BYTES, 2 * reservedBytes));
        if (newCapacity == reservedBytes) {
            throw bodyTooLarge();
        }
        if (!memory.tryReserve(newCapacity - reservedBytes)) {
            throw new ResourceExhaustedException(
                    "request body memory", RETRY_AFTER_SECONDS, "no room for the body; try again later");
        }
        body = ByteBuffer.wrap(Arrays.copyOf(body.array(), newCapacity)).position(body.position());
        reservedBytes = newCapacity;
    }

    private static InvalidRequestException bodyTooLarge() {
        return new InvalidRequestException(
                StatusCodes.REQUEST_ENTITY_TOO_LARGE, InvalidRequestException.BODY, "the body is over 256 KiB");
    }

    private void complete() {
        stopReading();
        Connectors.terminateRequest(exchange);
        byte[] content = Arrays.copyOf(body.array(), body.position());
        memory.release(reservedBytes - content.length);
        reservedBytes = content.length;
        body = null;
        onBody.accept(exchange, content);
    }

    private void reject(InvalidRequestException e) {
        reject(e.status(), e.getMessage());
    }

    private void reject(ResourceExhaustedException e) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(e.retryAfterSeconds()));
        reject(StatusCodes.SERVICE_UNAVAILABLE, e.getMessage());
    }

    /** Answers without reading on. The connection closes after the response, whatever the client still sends. */
    private void reject(int status, String text) {
        if (!done) {
            stopReading();
            releaseBody();
            onRejected.reject(exchange, status, text);
        }
    }

    private void onClientDisconnected() {
        stopReading();
        Connectors.terminateRequest(exchange);
        IoUtils.safeClose(connection);
    }

    /** Drops what was received and gives its memory back; the exchange may be reachable for seconds yet. */
    private void releaseBody() {
        body = null;
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    private void stopReading() {
        done = true;
        if (timeout != null) {
            timeout.remove();
            connection.getOriginalSourceConduit().suspendReads();
        }
    }
}
