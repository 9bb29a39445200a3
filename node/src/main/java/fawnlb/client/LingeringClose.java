package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Closes the connection of a request that got its response before all of the request was received.
 *
 * <p>A close while bytes are unread resets the connection, and the client may lose the response. So this side ends its
 * output, reads and discards the rest of the request until the client closes or a timeout passes, and closes then.
 * Undertow would close at the first byte of the rest.
 */
@EventLoopOnly
final class LingeringClose {
    /** As long as a whole request body may take. */
    private static final long LINGER_TIMEOUT_NANOS = 2_000_000_000;

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** The bytes are discarded, so all connections of a thread can share a buffer. */
    private static final ThreadLocal<ByteBuffer> DISCARD_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

    private static final AttachmentKey<Boolean> REQUEST_INCOMPLETE = AttachmentKey.create(Boolean.class);

    private final HttpServerConnection connection;
    private final ConduitStreamSinkChannel sink;
    private final ConduitStreamSourceChannel source;
    private Timers.Timer timeout;

    private LingeringClose(HttpServerConnection connection) {
        this.connection = connection;
        connection.clearChannel();
        this.sink = connection.getChannel().getSinkChannel();
        this.source = connection.getChannel().getSourceChannel();
    }

    /** Records that an exchange gets its response before all of its request was received. */
    static void markRequestIncomplete(HttpServerExchange exchange) {
        exchange.putAttachment(REQUEST_INCOMPLETE, true);
    }

    /** Whether the exchange's connection must be closed by this class once the exchange is complete. */
    static boolean isRequiredFor(HttpServerExchange exchange) {
        return exchange.getAttachment(REQUEST_INCOMPLETE) != null;
    }

    /** Starts to close the connection of a complete exchange, in place of Undertow. */
    static void begin(HttpServerExchange exchange, Timers timers) {
        new LingeringClose((HttpServerConnection) exchange.getConnection()).begin(timers);
    }

    private void begin(Timers timers) {
        PooledByteBuffer readAheadBuffer = connection.getExtraBytes();
        if (readAheadBuffer != null) {
            readAheadBuffer.close();
            connection.setExtraBytes(null);
        }
        timeout = timers.schedule(LINGER_TIMEOUT_NANOS, this::close);
        try {
            sink.shutdownWrites();
        } catch (IOException e) {
            close();
            return;
        }
        sink.setWriteListener(channel -> flushResponse());
        flushResponse();
        source.setReadListener(channel -> discardInput());
        source.resumeReads();
    }

    private void flushResponse() {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void discardInput() {
        int count;
        try {
            count = source.read(DISCARD_BUFFER.get().clear());
        } catch (IOException e) {
            count = -1;
        }
        if (count < 0) {
            close();
        }
    }

    private void close() {
        timeout.cancel();
        IoUtils.safeClose(connection);
    }
}
