package fawnlb.http;

import fawnlb.eventloop.UncaughtErrorHandler;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Receives requests' whole bodies, up to the protocol's limit for each and to a limit of memory for all. Undertow's
 * receiver is not used: it takes memory for as many bytes as a client announces before it looks at its limit, which
 * ends the process, and it passes over chunks that can't be read.
 */
public final class RequestBodyReader {
    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 8 * 1024;
    /** A client that stops half-way through its body is owed an error within 3 s of its connect. */
    private static final long BODY_TIMEOUT_MS = 2000;

    private final AtomicLong availableBytes;

    /**
     * Holds so many bytes of bodies at a time: every client at once with the largest one would be more than the heap.
     */
    public RequestBodyReader(long maxBufferedBytes) {
        availableBytes = new AtomicLong(maxBufferedBytes);
    }

    /** Answers a request that goes no further. */
    @FunctionalInterface
    public interface RejectionHandler {
        void reject(HttpServerExchange exchange, int status, String text);
    }

    /** Hands the body on, or a status and a text on why it could not be had. */
    public void receive(
            HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> onBody, RejectionHandler onRejected) {
        BodyReceiver receiver = new BodyReceiver(exchange, onBody, onRejected);
        exchange.dispatch(SameThreadExecutor.INSTANCE, receiver::begin);
    }

    private final class BodyReceiver {
        private final HttpServerExchange exchange;
        private final HttpServerConnection connection;
        private final BiConsumer<HttpServerExchange, byte[]> onBody;
        private final RejectionHandler onRejected;
        private BodyFraming framing;
        private ByteBuffer body = ByteBuffer.allocate(0);
        private int reservedBytes;
        private XnioExecutor.Key timeout;
        private boolean done;

        BodyReceiver(
                HttpServerExchange exchange,
                BiConsumer<HttpServerExchange, byte[]> onBody,
                RejectionHandler onRejected) {
            this.exchange = exchange;
            this.connection = (HttpServerConnection) exchange.getConnection();
            this.onBody = onBody;
            this.onRejected = onRejected;
        }

        void begin() {
            exchange.addExchangeCompleteListener((completed, next) -> {
                stopReading();
                availableBytes.addAndGet(reservedBytes);
                next.proceed();
            });
            long declaredBytes = Math.max(0, exchange.getRequestContentLength());
            if (declaredBytes > MAX_BODY_BYTES) {
                reject(StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
            } else if (exchange.isRequestComplete()) {
                done = true;
                onBody.accept(exchange, new byte[0]);
            } else {
                framing = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)
                        ? BodyFraming.chunked(MAX_BODY_BYTES)
                        : BodyFraming.fixedLength(declaredBytes);
                timeout = exchange.getIoThread()
                        .executeAfter(
                                () -> reject(StatusCodes.REQUEST_TIME_OUT, "the body did not come"),
                                BODY_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
                connection.getChannel().getSourceChannel().setReadListener(c -> readGuarded());
                if (HttpContinue.requiresContinueResponse(exchange)) {
                    HttpContinue.sendContinueResponse(exchange, new ContinueCallback());
                } else {
                    readGuarded();
                }
            }
        }

        private final class ContinueCallback implements IoCallback {
            @Override
            public void onComplete(HttpServerExchange completed, Sender sender) {
                readGuarded();
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                abandon();
            }
        }

        private void readGuarded() {
            UncaughtErrorHandler.run(this::readAvailable, "a request could not be taken", () -> {
                stopReading();
                onRejected.reject(exchange, StatusCodes.INTERNAL_SERVER_ERROR, "failed");
            });
        }

        /** Reads below Undertow's own framing, from what came with the head on. */
        private void readAvailable() {
            while (!done) {
                PooledByteBuffer pooled = connection.getExtraBytes();
                connection.setExtraBytes(null);
                boolean hasFollowingBytes = false;
                try {
                    if (pooled == null) {
                        pooled = connection.getByteBufferPool().allocate();
                        int count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
                        pooled.getBuffer().flip();
                        if (count < 0) {
                            abandon();
                            return;
                        }
                        if (count == 0) {
                            connection.getOriginalSourceConduit().resumeReads();
                            return;
                        }
                    }
                    if (decode(pooled.getBuffer())) {
                        hasFollowingBytes = pooled.getBuffer().hasRemaining();
                        if (hasFollowingBytes) {
                            connection.setExtraBytes(pooled);
                        }
                        complete();
                    }
                } catch (ContentFault e) {
                    reject(e.status, e.getMessage());
                } catch (IOException e) {
                    abandon();
                } finally {
                    if (!hasFollowingBytes && pooled != null) {
                        pooled.close();
                    }
                }
            }
        }

        /** True once the body is whole; what follows it stays in the buffer. */
        private boolean decode(ByteBuffer in) throws ContentFault {
            try {
                framing.decode(in, body);
                while (in.hasRemaining() && !framing.isComplete()) {
                    growBuffer();
                    framing.decode(in, body);
                }
                return framing.isComplete();
            } catch (IOException e) {
                throw new ContentFault(StatusCodes.BAD_REQUEST, "the body can't be read: " + e.getMessage());
            }
        }

        private void growBuffer() throws ContentFault {
            int newCapacity = Math.min(MAX_BODY_BYTES, Math.max(INITIAL_BUFFER_BYTES, 2 * reservedBytes));
            if (newCapacity == reservedBytes) {
                throw new ContentFault(StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
            }
            if (availableBytes.addAndGet(reservedBytes - newCapacity) < 0) {
                availableBytes.addAndGet(newCapacity - reservedBytes);
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
                throw new ContentFault(StatusCodes.SERVICE_UNAVAILABLE, "no room for the body; try again later");
            }
            body = ByteBuffer.wrap(Arrays.copyOf(body.array(), newCapacity)).position(body.position());
            reservedBytes = newCapacity;
        }

        private void complete() {
            stopReading();
            Connectors.terminateRequest(exchange);
            byte[] content = Arrays.copyOf(body.array(), body.position());
            availableBytes.addAndGet(reservedBytes - content.length);
            reservedBytes = content.length;
            body = null;
            onBody.accept(exchange, content);
        }

        /** Answers without reading on; the connection closes with the answer, whatever still comes on it. */
        private void reject(int status, String text) {
            if (!done) {
                stopReading();
                onRejected.reject(exchange, status, text);
            }
        }

        /** The client has left half-way. */
        private void abandon() {
            stopReading();
            Connectors.terminateRequest(exchange);
            IoUtils.safeClose(connection);
        }

        private void stopReading() {
            done = true;
            if (timeout != null) {
                timeout.remove();
                connection.getOriginalSourceConduit().suspendReads();
            }
        }
    }

    private static final class ContentFault extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        ContentFault(int status, String message) {
            super(message);
            this.status = status;
        }
    }
}
