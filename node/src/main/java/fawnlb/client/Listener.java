package fawnlb.client;

import fawnlb.eventloop.Timers;
import fawnlb.eventloop.UncaughtErrorHandler;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.nio.ListeningSocket;

/**
 * Accepts clients on one address, on the I/O thread itself.
 *
 * <p>An accept can fail for a while (no descriptor, no memory for a socket, a connection reset while it waited). The
 * listener then tries again every {@link #ACCEPT_RETRY_DELAY_NANOS}, neither at once, which would keep the thread busy
 * for as long as the cause lasts, nor after a growing pause, through which clients would wait behind a cause that is
 * gone.
 */
public final class Listener implements Closeable {
    /** How long the listener waits after a failed accept, in nanoseconds. */
    static final long ACCEPT_RETRY_DELAY_NANOS = 50_000_000;
    /** One turn accepts so many at most, so that a burst of clients does not keep the others from being read. */
    static final int MAX_ACCEPTS_PER_EVENT = 32;
    /** A failing accept is logged once in so many nanoseconds. */
    private static final long FAILURE_LOG_INTERVAL_NANOS = 10_000_000_000L;
    /**
     * A planned end waits so long for an accept that keeps failing, in nanoseconds; then the socket closes over who
     * waits.
     */
    private static final long CLOSE_TIMEOUT_NANOS = 2_000_000_000L;

    private static final long NOT_BLOCKED = Long.MIN_VALUE;
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());

    /** Accepts one socket, null if nobody waits. */
    @FunctionalInterface
    interface SocketAcceptor {
        SocketChannel accept() throws IOException;
    }

    /** Takes a new connection on the I/O thread. */
    @FunctionalInterface
    public interface ConnectionHandler {
        /** Waited: for how long it may have been in the kernel's queue, with a request on it, in nanoseconds. */
        void onAccepted(StreamConnection connection, long queuedNanos);
    }

    /**
     * Limits of one listener; {@code maxConnections}: connections that are accepted here and still open;
     * {@code sendBufferBytes}: in bytes.
     */
    public record Limits(int maxConnections, int backlog, int sendBufferBytes) {}

    private final ServerSocketChannel channel;
    private final SocketAcceptor acceptor;
    private final Limits limits;
    private final Timers timers;
    private final ConnectionHandler connectionHandler;
    private ListeningSocket socket;
    private int openConnections;
    private int unloggedFailures;
    private long failureLoggedAtNanos;
    private boolean atConnectionLimit;
    /** Since when somebody may wait in the kernel's queue, since nobody could be accepted. */
    private long blockedSinceNanos = NOT_BLOCKED;

    private boolean closing;

    /** A listener that is bound and accepts nobody yet; each connection goes to the taker, on the I/O thread. */
    public Listener(InetSocketAddress address, Limits limits, Timers timers, ConnectionHandler connectionHandler)
            throws IOException {
        this(bind(address, limits.backlog()), null, limits, timers, connectionHandler);
    }

    Listener(
            ServerSocketChannel channel,
            SocketAcceptor acceptor,
            Limits limits,
            Timers timers,
            ConnectionHandler connectionHandler) {
        this.channel = channel;
        this.acceptor = acceptor == null ? channel::accept : acceptor;
        this.limits = limits;
        this.timers = timers;
        this.connectionHandler = connectionHandler;
        this.failureLoggedAtNanos = timers.now() - FAILURE_LOG_INTERVAL_NANOS;
    }

    static ServerSocketChannel bind(InetSocketAddress address, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, backlog);
            return channel;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    /** Accepts from here on; to be called once, on any thread. */
    public void start(XnioIoThread thread) throws IOException {
        // What it throws would end the thread that carries all connections.
        socket = ListeningSocket.register(
                thread,
                channel,
                () -> UncaughtErrorHandler.run(this::onAcceptable, "a connection could not be taken", () -> {}));
        socket.resumeAccepts();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    private void onAcceptable() {
        if (closing) {
            return;
        }
        timers.onSocketEvent();
        AcceptResult result = accept(MAX_ACCEPTS_PER_EVENT);
        if (result == AcceptResult.AT_CONNECTION_LIMIT) {
            atConnectionLimit = true;
            socket.suspendAccepts();
        } else if (result == AcceptResult.FAILED) {
            socket.suspendAccepts();
            timers.schedule(ACCEPT_RETRY_DELAY_NANOS, this::resumeAccepts);
        }
    }

    private void resumeAccepts() {
        if (!closing && channel.isOpen()) {
            socket.resumeAccepts();
        }
    }

    /**
     * How a run of accepts ended: nobody waits, there may be more, no room for another connection, or an accept failed.
     */
    private enum AcceptResult {
        QUEUE_EMPTY,
        BATCH_COMPLETE,
        AT_CONNECTION_LIMIT,
        FAILED
    }

    private AcceptResult accept(int maxAccepts) {
        AcceptResult result = acceptUpTo(maxAccepts);
        if (result == AcceptResult.QUEUE_EMPTY) {
            blockedSinceNanos = NOT_BLOCKED;
        } else if (blockedSinceNanos == NOT_BLOCKED) {
            blockedSinceNanos = timers.now() - timers.maxEventAgeNanos();
        }
        return result;
    }

    private AcceptResult acceptUpTo(int maxAccepts) {
        for (int i = 0; i < maxAccepts; i++) {
            if (openConnections >= limits.maxConnections()) {
                return AcceptResult.AT_CONNECTION_LIMIT;
            }
            SocketChannel accepted;
            try {
                accepted = acceptor.accept();
            } catch (IOException e) {
                recordFailure(e);
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
        StreamConnection connection;
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            accepted.setOption(StandardSocketOptions.SO_SNDBUF, limits.sendBufferBytes());
            connection = socket.openConnection(accepted, this::onConnectionClosed);
        } catch (IOException e) {
            // The client has gone meanwhile, or its socket can't be used.
            LOG.fine(() -> "an accepted connection could not be used: " + e.getMessage());
            IoUtils.safeClose(accepted);
            return;
        }
        openConnections++;
        connectionHandler.onAccepted(
                connection,
                Math.max(
                        timers.maxEventAgeNanos(),
                        blockedSinceNanos == NOT_BLOCKED ? 0 : timers.now() - blockedSinceNanos));
    }

    private void onConnectionClosed() {
        openConnections--;
        if (atConnectionLimit) {
            atConnectionLimit = false;
            resumeAccepts();
        }
    }

    private void recordFailure(IOException e) {
        unloggedFailures++;
        Metrics.increment(Metric.ACCEPT_FAILURES, "accept");
        long nowNanos = timers.now();
        if (nowNanos - failureLoggedAtNanos >= FAILURE_LOG_INTERVAL_NANOS) {
            LOG.warning("accept on " + address() + " failed, " + unloggedFailures + " times since the last such line: "
                    + e.getMessage());
            failureLoggedAtNanos = nowNanos;
            unloggedFailures = 0;
        }
    }

    /**
     * Accepts whoever has connected by then, and closes the socket in the same turn of the I/O thread, so that nobody
     * who waits in the kernel's queue is reset. To be called on the I/O thread.
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
        // A channel that is still registered would be closed only when the thread looks at its sockets the next time.
        boolean deadlinePassed = timers.now() >= deadlineNanos;
        AcceptResult result = channel.isRegistered() ? AcceptResult.BATCH_COMPLETE : accept(limits.backlog());
        if (result == AcceptResult.QUEUE_EMPTY || deadlinePassed) {
            close();
            onClosed.run();
        } else {
            timers.schedule(
                    result == AcceptResult.BATCH_COMPLETE ? 1 : ACCEPT_RETRY_DELAY_NANOS,
                    () -> closeGracefully(deadlineNanos, onClosed));
        }
    }

    /** Closes at once, over whoever waits. */
    @Override
    public void close() {
        closing = true;
        IoUtils.safeClose(channel);
    }
}
