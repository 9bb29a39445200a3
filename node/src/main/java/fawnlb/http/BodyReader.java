package fawnlb.http;

import fawnlb.actor.Guard;
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
public final class BodyReader {
    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int FIRST_ROOM = 8 * 1024;
    /** A client that stops half-way through its body is owed an error within 3 s of its connect. */
    private static final long PATIENCE_MS = 2000;

    private final AtomicLong room;

    /**
     * Holds so many bytes of bodies at a time: every client at once with the largest one would be more than the heap.
     */
    public BodyReader(long mostHeld) {
        room = new AtomicLong(mostHeld);
    }

    /** Answers a request that goes no further. */
    @FunctionalInterface
    public interface Refusal {
        void refuse(HttpServerExchange exchange, int status, String text);
    }

    /** Hands the body on, or a status and a text on why it could not be had. */
    public void receive(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> taken, Refusal refused) {
        Reading reading = new Reading(exchange, taken, refused);
        exchange.dispatch(SameThreadExecutor.INSTANCE, reading::begin);
    }

    private final class Reading {
        private final HttpServerExchange exchange;
        private final HttpServerConnection connection;
        private final BiConsumer<HttpServerExchange, byte[]> taken;
        private final Refusal refused;
        private Content content;
        private ByteBuffer body = ByteBuffer.allocate(0);
        private int held;
        private XnioExecutor.Key patience;
        private boolean done;

        Reading(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> taken, Refusal refused) {
            this.exchange = exchange;
            this.connection = (HttpServerConnection) exchange.getConnection();
            this.taken = taken;
            this.refused = refused;
        }

        void begin() {
            exchange.addExchangeCompleteListener((over, next) -> {
                end();
                room.addAndGet(held);
                next.proceed();
            });
            long length = Math.max(0, exchange.getRequestContentLength());
            if (length > MAX_BODY_BYTES) {
                refuse(StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
            } else if (exchange.isRequestComplete()) {
                done = true;
                taken.accept(exchange, new byte[0]);
            } else {
                content = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)
                        ? Content.chunked(MAX_BODY_BYTES)
                        : Content.fixed(length);
                patience = exchange.getIoThread()
                        .executeAfter(
                                () -> refuse(StatusCodes.REQUEST_TIME_OUT, "the body did not come"),
                                PATIENCE_MS,
                                TimeUnit.MILLISECONDS);
                connection.getChannel().getSourceChannel().setReadListener(c -> read());
                if (HttpContinue.requiresContinueResponse(exchange)) {
                    HttpContinue.sendContinueResponse(exchange, new Continued());
                } else {
                    read();
                }
            }
        }

        private final class Continued implements IoCallback {
            @Override
            public void onComplete(HttpServerExchange of, Sender sender) {
                read();
            }

            @Override
            public void onException(HttpServerExchange of, Sender sender, IOException e) {
                abandon();
            }
        }

        private void read() {
            Guard.run(this::readOn, "a request could not be taken", () -> {
                end();
                refused.refuse(exchange, StatusCodes.INTERNAL_SERVER_ERROR, "failed");
            });
        }

        /** Reads below Undertow's own framing, from what came with the head on. */
        private void readOn() {
            while (!done) {
                PooledByteBuffer pooled = connection.getExtraBytes();
                connection.setExtraBytes(null);
                boolean rest = false;
                try {
                    if (pooled == null) {
                        pooled = connection.getByteBufferPool().allocate();
                        int n = connection.getOriginalSourceConduit().read(pooled.getBuffer());
                        pooled.getBuffer().flip();
                        if (n < 0) {
                            abandon();
                            return;
                        }
                        if (n == 0) {
                            connection.getOriginalSourceConduit().resumeReads();
                            return;
                        }
                    }
                    if (feed(pooled.getBuffer())) {
                        rest = pooled.getBuffer().hasRemaining();
                        if (rest) {
                            connection.setExtraBytes(pooled);
                        }
                        whole();
                    }
                } catch (ContentFault e) {
                    refuse(e.status, e.getMessage());
                } catch (IOException e) {
                    abandon();
                } finally {
                    if (!rest && pooled != null) {
                        pooled.close();
                    }
                }
            }
        }

        /** True once the body is whole; what follows it stays in the buffer. */
        private boolean feed(ByteBuffer in) throws ContentFault {
            try {
                content.feed(in, body);
                while (in.hasRemaining() && !content.done()) {
                    grow();
                    content.feed(in, body);
                }
                return content.done();
            } catch (IOException e) {
                throw new ContentFault(StatusCodes.BAD_REQUEST, "the body can't be read: " + e.getMessage());
            }
        }

        private void grow() throws ContentFault {
            int larger = Math.min(MAX_BODY_BYTES, Math.max(FIRST_ROOM, 2 * held));
            if (larger == held) {
                throw new ContentFault(StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
            }
            if (room.addAndGet(held - larger) < 0) {
                room.addAndGet(larger - held);
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
                throw new ContentFault(StatusCodes.SERVICE_UNAVAILABLE, "no room for the body; try again later");
            }
            body = ByteBuffer.wrap(Arrays.copyOf(body.array(), larger)).position(body.position());
            held = larger;
        }

        private void whole() {
            end();
            Connectors.terminateRequest(exchange);
            byte[] all = Arrays.copyOf(body.array(), body.position());
            room.addAndGet(held - all.length);
            held = all.length;
            body = null;
            taken.accept(exchange, all);
        }

        /** Answers without reading on; the connection closes with the answer, whatever still comes on it. */
        private void refuse(int status, String text) {
            if (!done) {
                end();
                refused.refuse(exchange, status, text);
            }
        }

        /** The client has left half-way. */
        private void abandon() {
            end();
            Connectors.terminateRequest(exchange);
            IoUtils.safeClose(connection);
        }

        private void end() {
            done = true;
            if (patience != null) {
                patience.remove();
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
