package fawnlb.client;

import fawnlb.actor.Guard;
import fawnlb.actor.Timers;
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
 * listener then tries again every {@link #PAUSE}, neither at once, which would keep the thread busy for as long as the
 * cause lasts, nor after a growing pause, through which clients would wait behind a cause that is gone.
 */
public final class Listener implements Closeable {
    /** How long the listener waits after a failed accept, in nanoseconds. */
    static final long PAUSE = 50_000_000;
    /** One turn accepts so many at most, so that a burst of clients does not keep the others from being read. */
    static final int MAX_PER_TURN = 32;
    /** A failing accept is logged once in so many nanoseconds. */
    private static final long LOG_PAUSE = 10_000_000_000L;
    /**
     * A planned end waits so long for an accept that keeps failing, in nanoseconds; then the socket closes over who
     * waits.
     */
    private static final long MAX_CLOSING = 2_000_000_000L;

    private static final long NOT_BLOCKED = Long.MIN_VALUE;
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());

    /** Accepts one socket, null if nobody waits. */
    @FunctionalInterface
    interface Acceptor {
        SocketChannel accept() throws IOException;
    }

    /** Takes a new connection on the I/O thread. */
    @FunctionalInterface
    public interface Taker {
        /** Waited: for how long it may have been in the kernel's queue, with a request on it, in nanoseconds. */
        void take(StreamConnection connection, long waited);
    }

    /**
     * Limits of one listener; {@code maxOpen}: connections that are accepted here and still open; {@code sendBuffer}:
     * in bytes.
     */
    public record Limits(int maxOpen, int backlog, int sendBuffer) {}

    private final ServerSocketChannel channel;
    private final Acceptor acceptor;
    private final Limits limits;
    private final Timers timers;
    private final Taker taker;
    private ListeningSocket socket;
    private int open;
    private int failures;
    private long loggedAt;
    private boolean full;
    /** Since when somebody may wait in the kernel's queue, since nobody could be accepted. */
    private long blockedSince = NOT_BLOCKED;

    private boolean closing;

    /** A listener that is bound and accepts nobody yet; each connection goes to the taker, on the I/O thread. */
    public Listener(InetSocketAddress address, Limits limits, Timers timers, Taker taker) throws IOException {
        this(bind(address, limits.backlog()), null, limits, timers, taker);
    }

    Listener(ServerSocketChannel channel, Acceptor acceptor, Limits limits, Timers timers, Taker taker) {
        this.channel = channel;
        this.acceptor = acceptor == null ? channel::accept : acceptor;
        this.limits = limits;
        this.timers = timers;
        this.taker = taker;
        this.loggedAt = timers.now() - LOG_PAUSE;
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
                thread, channel, () -> Guard.run(this::acceptWaiting, "a connection could not be taken", () -> {}));
        socket.resumeAccepts();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    private void acceptWaiting() {
        if (closing) {
            return;
        }
        timers.handlingEvent();
        Result result = accept(MAX_PER_TURN);
        if (result == Result.FULL) {
            full = true;
            socket.suspendAccepts();
        } else if (result == Result.FAILED) {
            socket.suspendAccepts();
            timers.after(PAUSE, this::resume);
        }
    }

    private void resume() {
        if (!closing && channel.isOpen()) {
            socket.resumeAccepts();
        }
    }

    /**
     * How a run of accepts ended: nobody waits, there may be more, no room for another connection, or an accept failed.
     */
    private enum Result {
        NOBODY_WAITS,
        MORE,
        FULL,
        FAILED
    }

    private Result accept(int max) {
        Result result = acceptUpTo(max);
        if (result == Result.NOBODY_WAITS) {
            blockedSince = NOT_BLOCKED;
        } else if (blockedSince == NOT_BLOCKED) {
            blockedSince = timers.now() - timers.eventAge();
        }
        return result;
    }

    private Result acceptUpTo(int max) {
        for (int i = 0; i < max; i++) {
            if (open >= limits.maxOpen()) {
                return Result.FULL;
            }
            SocketChannel accepted;
            try {
                accepted = acceptor.accept();
            } catch (IOException e) {
                logFailure(e);
                return Result.FAILED;
            }
            if (accepted == null) {
                return Result.NOBODY_WAITS;
            }
            take(accepted);
        }
        return Result.MORE;
    }

    private void take(SocketChannel accepted) {
        StreamConnection connection;
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            accepted.setOption(StandardSocketOptions.SO_SNDBUF, limits.sendBuffer());
            connection = socket.connection(accepted, this::connectionClosed);
        } catch (IOException e) {
            // The client has gone meanwhile, or its socket can't be used.
            LOG.fine(() -> "an accepted connection could not be used: " + e.getMessage());
            IoUtils.safeClose(accepted);
            return;
        }
        open++;
        taker.take(
                connection, Math.max(timers.eventAge(), blockedSince == NOT_BLOCKED ? 0 : timers.now() - blockedSince));
    }

    private void connectionClosed() {
        open--;
        if (full) {
            full = false;
            resume();
        }
    }

    private void logFailure(IOException e) {
        failures++;
        Metrics.count(Metric.ACCEPT_FAILURES, "accept");
        long now = timers.now();
        if (now - loggedAt >= LOG_PAUSE) {
            LOG.warning("accept on " + address() + " failed, " + failures + " times since the last such line: "
                    + e.getMessage());
            loggedAt = now;
            failures = 0;
        }
    }

    /**
     * Accepts whoever has connected by then, and closes the socket in the same turn of the I/O thread, so that nobody
     * who waits in the kernel's queue is reset. To be called on the I/O thread.
     *
     * @param closed runs on the I/O thread when the socket is closed
     */
    public void closeWhenNobodyWaits(Runnable closed) {
        closing = true;
        socket.suspendAccepts();
        socket.deregister();
        closeWhenNobodyWaits(timers.now() + MAX_CLOSING, closed);
    }

    private void closeWhenNobodyWaits(long latest, Runnable closed) {
        // A channel that is still registered would be closed only when the thread looks at its sockets the next time.
        boolean late = timers.now() >= latest;
        Result result = channel.isRegistered() ? Result.MORE : accept(limits.backlog());
        if (result == Result.NOBODY_WAITS || late) {
            close();
            closed.run();
        } else {
            timers.after(result == Result.MORE ? 1 : PAUSE, () -> closeWhenNobodyWaits(latest, closed));
        }
    }

    /** Closes at once, over whoever waits. */
    @Override
    public void close() {
        closing = true;
        IoUtils.safeClose(channel);
    }
}
