package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Detects that a client disconnects while its request is served. Undertow doesn't read a connection meanwhile, so this
 * class reads it, and keeps the bytes of a next request for Undertow.
 */
@EventLoopOnly
final class DisconnectDetector {
    /** More than sockets of both sides hold; a client that sends without end must not keep the thread. */
    private static final long MAX_BYTES_PER_CHECK = 16 << 20;
    /** What is read when the connection is readable: others are to be read too. */
    private static final long MAX_BYTES_PER_EVENT = 64 << 10;
    /** How long a client that has sent too much is left unread, so that it does not use up the processor. */
    private static final long DISCARD_INTERVAL_MILLIS = 10;

    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    /** The bytes are discarded, so all connections of a thread can share a buffer. */
    private static final ThreadLocal<ByteBuffer> DISCARD_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES));

    private static final AttachmentKey<CloseListener> CLOSE_LISTENER = AttachmentKey.create(CloseListener.class);

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private CloseListener closeListener;
    private boolean hasSentTooMuch;
    private boolean isStopped;

    DisconnectDetector(HttpServerExchange exchange) {
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
    }

    /**
     * The close listener of a connection, which calls the exchange that the connection serves. Undertow keeps close
     * listeners for as long as the connection is open, so one listener for each exchange would keep all exchanges.
     */
    private static final class CloseListener {
        private Runnable onClosed;

        void onConnectionClosed() {
            if (onClosed != null) {
                onClosed.run();
            }
        }
    }

    /**
     * Starts to watch the connection.
     *
     * @param onReadable runs when the connection has bytes to read or has been closed by the client
     * @param onClosed runs when this side has closed the connection
     */
    void start(Runnable onReadable, Runnable onClosed) {
        connection.getChannel().getSourceChannel().setReadListener(c -> onReadable.run());
        connection.getOriginalSourceConduit().resumeReads();
        closeListener = connection.getAttachment(CLOSE_LISTENER);
        if (closeListener == null) {
            CloseListener added = new CloseListener();
            connection.putAttachment(CLOSE_LISTENER, added);
            connection.addCloseListener(c -> added.onConnectionClosed());
            closeListener = added;
        }
        closeListener.onClosed = onClosed;
    }

    /** Stops to read, so that bytes of a next request don't wake the I/O thread again and again. */
    void stopReading() {
        isStopped = true;
        connection.getOriginalSourceConduit().suspendReads();
    }

    /** Releases the exchange. The connection doesn't refer to it any more. */
    void release() {
        isStopped = true;
        if (closeListener != null) {
            closeListener.onClosed = null;
        }
    }

    /**
     * Reads all that has arrived from the client, and returns whether the client has disconnected. A close stands
     * behind all that was sent before it.
     */
    boolean readAll() {
        return readAhead(MAX_BYTES_PER_CHECK);
    }

    /**
     * Reads a part of what has arrived from the client, whose connection is readable, and returns whether the client
     * has disconnected.
     */
    boolean readSome() {
        boolean disconnected = readAhead(MAX_BYTES_PER_EVENT);
        if (!disconnected && hasSentTooMuch) {
            connection.getOriginalSourceConduit().suspendReads();
            exchange.getIoThread().executeAfter(this::resumeReading, DISCARD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return disconnected;
    }

    private void resumeReading() {
        if (!isStopped) {
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private boolean readAhead(long maxBytes) {
        PooledByteBuffer pooled = takeReadAheadBuffer();
        ByteBuffer buffered = pooled.getBuffer();
        buffered.compact();
        boolean disconnected = readUpTo(maxBytes, buffered);
        buffered.flip();
        if (!buffered.hasRemaining()) {
            pooled.close();
            connection.setExtraBytes(null);
        }
        return disconnected;
    }

    private boolean readUpTo(long maxBytes, ByteBuffer buffered) {
        int count = 1;
        for (long total = 0; count > 0 && total < maxBytes; total += count) {
            if (!buffered.hasRemaining()) {
                // A client sends one request at a time. From one that sends this much, only the close is of interest.
                hasSentTooMuch = true;
                exchange.setPersistent(false);
                buffered.clear();
            }
            count = read(hasSentTooMuch ? DISCARD_BUFFER.get().clear() : buffered);
        }
        return count < 0;
    }

    private PooledByteBuffer takeReadAheadBuffer() {
        PooledByteBuffer pooled = connection.getExtraBytes();
        if (pooled == null) {
            pooled = connection.getByteBufferPool().allocate();
            pooled.getBuffer().limit(0);
            connection.setExtraBytes(pooled);
        }
        return pooled;
    }

    /** Returns the number of bytes, negative if the client has closed or reset the connection. */
    private int read(ByteBuffer bytes) {
        try {
            return connection.getOriginalSourceConduit().read(bytes);
        } catch (IOException e) {
            return -1;
        }
    }
}
