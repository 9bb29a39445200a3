package fawnlb.client;

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
 * Closes the connection of a request that was answered before all of it had come. The node stops sending, reads and
 * drops the rest until the client closes or a time limit is reached, and closes then. Undertow would close at the first
 * byte of the rest: a close over unread bytes resets the connection, and the answer may be lost with it.
 *
 * <p>All of it runs on the connection's I/O thread.
 */
final class LingeringClose {
    /** How long the rest is read, in nanoseconds; as long as a whole body may take. */
    private static final long LINGER_TIMEOUT_NANOS = 2_000_000_000;

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** What is read is dropped, so one buffer does for all. */
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

    /** Notes that the exchange is answered although a part of its request has not been read. */
    static void markRequestIncomplete(HttpServerExchange exchange) {
        exchange.putAttachment(REQUEST_INCOMPLETE, true);
    }

    /** Whether the connection has to be closed in this way once the exchange is complete. */
    static boolean isRequiredFor(HttpServerExchange exchange) {
        return exchange.getAttachment(REQUEST_INCOMPLETE) != null;
    }

    /** Begins to close the connection of an exchange that is complete, in place of Undertow's own close. */
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
