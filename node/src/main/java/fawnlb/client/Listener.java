package fawnlb.client;

import fawnlb.eventloop.RateLimitedLog;
import fawnlb.eventloop.Timers;
import fawnlb.eventloop.UncaughtErrorHandler;
import fawnlb.metrics.LogLine;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.nio.ListeningSocket;

/**
 * Accepts client connections on one address, on the I/O thread itself.
 *
 * <p>An accept can fail for a while, for lack of descriptors or memory, or because a connection was reset in the accept
 * queue. The listener then retries at a fixed delay. An immediate retry would occupy the thread for as long as the
 * cause lasts. A growing delay would let clients wait after the cause has gone.
 *
 * <p>All methods but {@link #start} and {@link #address} must be called on the I/O thread.
 */
public final class Listener implements Closeable {
    /** Short for a client that waits, and long enough to cost little while the cause lasts. */
    static final long ACCEPT_RETRY_DELAY_NANOS = 50_000_000;
    /** A burst of new clients must not keep the thread from reading the others. */
    static final int MAX_ACCEPTS_PER_EVENT = 32;
    /** How long a graceful close waits while accepts keep failing. Then the queued connections are reset. */
    private static final long CLOSE_TIMEOUT_NANOS = 2_000_000_000L;
    /** The delay of a timer that runs as soon as the thread has polled its sockets. */
    static final long NEXT_POLL_NANOS = 1;

    private static final long NOT_STOPPED = Long.MIN_VALUE;
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());

    /** Accepts one socket. */
    @FunctionalInterface
    interface SocketAcceptor {
        /** Returns a socket, or null if the accept queue is empty. */
        SocketChannel accept() throws IOException;
    }

    /** Receives new connections, on the I/O thread. */
    public interface ConnectionHandler {
        /** Returns whether there is room for one more connection. Asked before each accept. */
        boolean hasRoom();

        /** Runs a task once when there may be room. */
        void whenRoom(Runnable task);

        /**
         * Called once for each connection.
         *
         * @param queuedNanos how long the connection may have waited in the kernel's accept queue, with a request on it
         */
        void onAccepted(StreamConnection connection, long queuedNanos);
    }

    /**
     * The sizes that the kernel is given for one listener.
     *
     * @param backlog the length of the accept queue
     * @param sendBufferBytes the size of each connection's send buffer
     */
    public record SocketOptions(int backlog, int sendBufferBytes) {}

    /** How a run of accepts ended. */
    private enum AcceptResult {
        QUEUE_EMPTY,
        /** As many connections as allowed were accepted; others may be waiting. */
        BATCH_COMPLETE,
        NO_ROOM,
        FAILED
    }

    private final ServerSocketChannel channel;
    private final SocketAcceptor acceptor;
    private final SocketOptions options;
    private final Timers timers;
    private final ConnectionHandler connectionHandler;
    private final AcceptFailureLog failureLog;
    private final RateLimitedLog noRoomLog;
    private final AcceptQueueDelay queueDelay;
    private ListeningSocket socket;
    /** Since when no connection has been accepted for want of room. */
    private long stoppedSinceNanos = NOT_STOPPED;

    private boolean isCheckScheduled;
    private boolean isWaitingForRoom;
    private boolean closing;

    /** Creates a listener and binds it to an address. It accepts no connection before {@link #start}. */
    public Listener(
            InetSocketAddress address, SocketOptions options, Timers timers, ConnectionHandler connectionHandler)
            throws IOException {
        this(bind(address, options.backlog()), null, options, timers, connectionHandler);
    }

    Listener(
            ServerSocketChannel channel,
            SocketAcceptor acceptor,
            SocketOptions options,
            Timers timers,
            ConnectionHandler connectionHandler) {
        this.channel = channel;
        this.acceptor = acceptor == null ? channel::accept : acceptor;
        this.options = options;
        this.timers = timers;
        this.connectionHandler = connectionHandler;
        this.failureLog = new AcceptFailureLog(timers);
        this.noRoomLog = new RateLimitedLog(LOG, Level.WARNING, timers);
        this.queueDelay = new AcceptQueueDelay(options.backlog(), timers);
    }

    static ServerSocketChannel bind(InetSocketAddress address, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        boolean bound = false;
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, backlog);
            bound = true;
            return channel;
        } finally {
            if (!bound) {
                IoUtils.safeClose(channel);
            }
        }
    }

    /** Starts to accept connections on an I/O thread. Must be called once, on any thread. */
    public void start(XnioIoThread thread) throws IOException {
        // An uncaught error would end the thread that serves all connections.
        socket = ListeningSocket.register(
                thread, channel, () -> UncaughtErrorHandler.run(this::onAcceptable, "accept handler failed", () -> {}));
        socket.resumeAccepts();
    }

    /** The address that the listener is bound to. May be called on any thread. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    private void onAcceptable() {
        if (closing) {
            return;
        }
        timers.onSocketEvent();
        acceptBatch();
    }

    private void acceptBatch() {
        switch (accept(MAX_ACCEPTS_PER_EVENT)) {
            case QUEUE_EMPTY -> resumeAccepts();
            case BATCH_COMPLETE -> {
                resumeAccepts();
                scheduleCheck(NEXT_POLL_NANOS);
            }
            case NO_ROOM -> stopUntilRoom();
            case FAILED -> {
                socket.suspendAccepts();
                scheduleCheck(ACCEPT_RETRY_DELAY_NANOS);
            }
        }
    }

    private void stopUntilRoom() {
        socket.suspendAccepts();
        if (stoppedSinceNanos == NOT_STOPPED) {
            stoppedSinceNanos = timers.now();
        }
        if (stoppedNanos() >= ACCEPT_RETRY_DELAY_NANOS) {
            noRoomLog.log(() -> LogLine.event("listener stopped")
                    .with("address", address().toString())
                    .elapsedNanos(stoppedNanos()));
        }
        if (!isWaitingForRoom) {
            isWaitingForRoom = true;
            connectionHandler.whenRoom(() -> {
                isWaitingForRoom = false;
                resumeAccepts();
            });
        }
        scheduleCheck(ACCEPT_RETRY_DELAY_NANOS);
    }

    /**
     * Looks at the accept queue again without an event of the socket. There is none if the queue has become empty, and
     * what comes later has not waited since now. Room may also come without a call.
     */
    private void scheduleCheck(long delayNanos) {
        if (!isCheckScheduled) {
            isCheckScheduled = true;
            timers.schedule(delayNanos, this::check);
        }
    }

    private void check() {
        isCheckScheduled = false;
        if (!closing) {
            acceptBatch();
        }
    }

    private void resumeAccepts() {
        if (!closing && channel.isOpen()) {
            socket.resumeAccepts();
        }
    }

    /** For how long no connection has been accepted because there was no room, in nanoseconds; 0 if there is room. */
    public long stoppedNanos() {
        return stoppedSinceNanos == NOT_STOPPED ? 0 : timers.now() - stoppedSinceNanos;
    }

    private AcceptResult accept(int maxAccepts) {
        AcceptResult result = acceptUpTo(maxAccepts);
        if (result == AcceptResult.QUEUE_EMPTY) {
            queueDelay.onQueueEmpty();
        } else {
            queueDelay.onQueueNotEmptied();
        }
        return result;
    }

    private AcceptResult acceptUpTo(int maxAccepts) {
        for (int i = 0; i < maxAccepts; i++) {
            if (!connectionHandler.hasRoom()) {
                return AcceptResult.NO_ROOM;
            }
            stoppedSinceNanos = NOT_STOPPED;
            SocketChannel accepted;
            try {
                accepted = acceptor.accept();
            } catch (IOException e) {
                failureLog.record(address(), e);
                return AcceptResult.FAILED;
            }
            if (accepted == null) {
                return AcceptResult.QUEUE_EMPTY;
            }
            openConnection(accepted);
        }
        return AcceptResult.BATCH_COMPLETE;
    }

    private void openConnection(SocketChannel accepted) {
        long queuedNanos = queueDelay.onAccepted();
        StreamConnection connection;
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            accepted.setOption(StandardSocketOptions.SO_SNDBUF, options.sendBufferBytes());
            connection = socket.openConnection(accepted);
        } catch (IOException e) {
            // The client has disconnected, or its socket can't be used.
            LOG.fine(() -> LogLine.event("accepted connection failed")
                    .reason(e.getMessage())
                    .toString());
            IoUtils.safeClose(accepted);
            return;
        }
        connectionHandler.onAccepted(connection, queuedNanos);
    }

    /**
     * Accepts the connections that wait in the accept queue, and closes the socket right after the queue was empty, so
     * that no queued connection is reset.
     *
     * @param onClosed runs on the I/O thread when the socket is closed
     */
    public void closeGracefully(Runnable onClosed) {
        closing = true;
        socket.suspendAccepts();
        socket.deregister();
        closeGracefully(timers.now() + CLOSE_TIMEOUT_NANOS, onClosed);
    }

    private void closeGracefully(long deadlineNanos, Runnable onClosed) {
        // A channel that is still registered would only be closed at the thread's next poll of its sockets.
        boolean deadlinePassed = timers.now() >= deadlineNanos;
        AcceptResult result = channel.isRegistered() ? AcceptResult.BATCH_COMPLETE : accept(options.backlog());
        if (result == AcceptResult.QUEUE_EMPTY || deadlinePassed) {
            close();
            onClosed.run();
        } else {
            long delayNanos = result == AcceptResult.FAILED ? ACCEPT_RETRY_DELAY_NANOS : NEXT_POLL_NANOS;
            timers.schedule(delayNanos, () -> closeGracefully(deadlineNanos, onClosed));
        }
    }

    /** Closes at once. Connections that wait in the accept queue are reset. */
    @Override
    public void close() {
        closing = true;
        IoUtils.safeClose(channel);
    }
}
