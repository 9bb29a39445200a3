package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.UncaughtErrorHandler;
import fawnlb.http.RequestBodyReader.RejectionHandler;
import fawnlb.memory.MemoryReservation;
import fawnlb.metrics.RejectionReason;
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
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/** Receives the body of one request. Reads the connection's bytes below Undertow's own framing. */
@EventLoopOnly
final class RequestBodyReceiver {
    /** The largest body that the protocol allows. */
    static final int MAX_BODY_BYTES = 256 * 1024;
    /** Most bodies fit in the first buffer; a larger one doubles it until it fits. */
    private static final int INITIAL_BUFFER_BYTES = 8 * 1024;
    /** A client that stops in the middle of its body must get an error within 3 s of its connect. */
    private static final long BODY_TIMEOUT_MS = 2000;

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final RequestBodyReader reader;
    private final MemoryReservation memory;
    private final BiConsumer<HttpServerExchange, BodyReference> onBody;
    private final RejectionHandler onRejected;
    private BodyFraming framing;
    private ByteBuffer body = ByteBuffer.allocate(0);
    /** No buffer is larger; less than the protocol's limit if the head declares the length. */
    private int maxBufferBytes = MAX_BODY_BYTES;

    private XnioExecutor.Key timeout;
    private boolean done;

    RequestBodyReceiver(
            HttpServerExchange exchange,
            RequestBodyReader reader,
            BiConsumer<HttpServerExchange, BodyReference> onBody,
            RejectionHandler onRejected) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.reader = reader;
        this.memory = reader.openReservation();
        this.onBody = onBody;
        this.onRejected = onRejected;
    }

    /** Starts to receive the body. Must be called once. */
    void begin() {
        exchange.addExchangeCompleteListener((completed, next) -> {
            dropBody();
            next.proceed();
        });
        long declaredBytes = Math.max(0, exchange.getRequestContentLength());
        if (declaredBytes > MAX_BODY_BYTES) {
            reject(bodyTooLarge());
        } else if (exchange.isRequestComplete()) {
            done = true;
            deliver(new byte[0]);
        } else {
            selectFraming((int) declaredBytes);
            startReading();
        }
    }

    private void selectFraming(int declaredBytes) {
        if (exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            framing = BodyFraming.chunked(MAX_BODY_BYTES);
        } else {
            framing = BodyFraming.fixedLength(declaredBytes);
            maxBufferBytes = declaredBytes;
        }
    }

    private void startReading() {
        reader.onReceiving(this);
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
            dropBody();
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
        int capacity = body.capacity();
        int newCapacity = Math.min(maxBufferBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * capacity));
        if (newCapacity == capacity) {
            throw bodyTooLarge();
        }
        if (!memory.tryResize(newCapacity)) {
            throw ResourceExhaustedException.noRoomForBody();
        }
        body = ByteBuffer.wrap(Arrays.copyOf(body.array(), newCapacity)).position(body.position());
    }

    static InvalidRequestException bodyTooLarge() {
        return new InvalidRequestException(
                StatusCodes.REQUEST_ENTITY_TOO_LARGE, InvalidRequestException.BODY, "the body is over 256 KiB");
    }

    private void complete() {
        stopReading();
        Connectors.terminateRequest(exchange);
        int size = body.position();
        byte[] content = size == body.capacity() ? body.array() : Arrays.copyOf(body.array(), size);
        body = null;
        memory.resize(size);
        deliver(content);
    }

    private void deliver(byte[] content) {
        BodyReference reference = BodyReference.create(content, memory);
        RequestBodyReader.closeOnCompletion(exchange, reference);
        onBody.accept(exchange, reference);
    }

    /** The client's connection. */
    StreamConnection clientConnection() {
        return connection.getChannel();
    }

    /**
     * Rejects the request to make room for others. It is read once more before: on a busy processor its body may lie
     * unread.
     *
     * @return false if the body is complete now
     */
    boolean rejectUnlessComplete() {
        onReadable();
        if (framing.isComplete()) {
            return false;
        }
        reject(ResourceExhaustedException.noRoomForBody());
        return true;
    }

    private void reject(InvalidRequestException e) {
        reject(RejectionReason.INVALID, e.status(), e.getMessage());
    }

    private void reject(ResourceExhaustedException e) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(e.retryAfterSeconds()));
        reject(RejectionReason.BODY_MEMORY, StatusCodes.SERVICE_UNAVAILABLE, e.getMessage());
    }

    /** Answers without reading on. The connection closes after the response, whatever the client still sends. */
    private void reject(RejectionReason reason, int status, String text) {
        if (!done) {
            dropBody();
            reason.record(exchange.getRequestHeaders().getFirst("X-Request-Id"));
            onRejected.reject(exchange, status, text);
        }
    }

    private void onClientDisconnected() {
        dropBody();
        Connectors.terminateRequest(exchange);
        IoUtils.safeClose(connection);
    }

    /** Stops reading and drops what was read; the exchange may be reachable for seconds yet. */
    private void dropBody() {
        stopReading();
        if (body != null) {
            body = null;
            memory.release();
        }
    }

    private void stopReading() {
        done = true;
        if (timeout != null) {
            reader.onReceived(this);
            timeout.remove();
            connection.getOriginalSourceConduit().suspendReads();
        }
    }
}
