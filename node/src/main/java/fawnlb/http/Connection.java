package fawnlb.http;

import fawnlb.actor.Guard;
import fawnlb.actor.Timers;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.PortUnreachableException;
import java.nio.ByteBuffer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The client's side of one HTTP/1.1 connection: one call at a time, never sent again by itself. All of it runs on one
 * I/O thread.
 */
public final class Connection {
    private static final int READ_SIZE = 16 * 1024;
    /** What one read brings is copied out before the next, so a thread needs only one. */
    private static final ThreadLocal<ByteBuffer> READ =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_SIZE));

    /** A connection that broke ends no answer, not even one that goes on to the connection's end. */
    private static final int RESET = -2;

    /** So long a head may take from its first byte to its end. */
    private static final long HEAD = 500_000_000;

    private final StreamConnection channel;
    private final Timers timers;
    private ByteBuffer[] request;
    private ResponseParser parser;
    private Call call;
    private Timers.Timer headTimer;
    private boolean headTold;
    private boolean writeFailed;
    private boolean closed;

    /** What becomes of one call: perhaps head and pieces of the body, and always one of the two ends. */
    public interface Call {
        void head(Response response);

        /** The next piece comes when {@link Connection#more} is called. */
        void body(ByteBuffer bytes);

        /** The response is whole. */
        void end(boolean reusable);

        /** The call broke. */
        void broken(Break how);
    }

    /** How a call can break. NOT_WRITTEN: before the request's last byte was handed to the network. */
    public enum Break {
        NOT_WRITTEN,
        CLOSED,
        UNREADABLE,
        UNFINISHED_HEAD
    }

    /** Hears whether a connect came up: a connection, or null. */
    @FunctionalInterface
    public interface Opened {
        void opened(Connection connection);

        /**
         * Instead, where it failed for a reason of this machine: no descriptor, port, buffer or route. It says nothing
         * of the other side.
         */
        default void failedLocally(IOException cause) {
            opened(null);
        }
    }

    private Connection(StreamConnection channel, Timers timers) {
        this.channel = channel;
        this.timers = timers;
        channel.getSourceChannel().setReadListener(c -> readable());
        channel.getSinkChannel().setWriteListener(c -> writable());
        channel.getSourceChannel().resumeReads();
    }

    /** Connects; the answer comes once, at the latest after {@code timeout} nanoseconds. */
    public static void open(
            XnioIoThread thread, Timers timers, InetSocketAddress address, long timeout, Opened opened) {
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        // Taking the connect back frees its descriptor; one to a vanished machine would hold it for minutes.
        Timers.Timer timer = timers.after(timeout, future::cancel);
        future.addNotifier(
                (f, none) -> thread.execute(() -> {
                    timer.cancel();
                    if (f.getStatus() == IoFuture.Status.FAILED && isLocal(f.getException())) {
                        opened.failedLocally(f.getException());
                    } else {
                        opened.opened(f.getStatus() == IoFuture.Status.DONE ? done(f, timers) : null);
                    }
                }),
                null);
    }

    /** The platform has exceptions of their own for what the other side or the way to it refuses. */
    private static boolean isLocal(IOException cause) {
        return !(cause instanceof ConnectException
                || cause instanceof NoRouteToHostException
                || cause instanceof PortUnreachableException);
    }

    private static Connection done(IoFuture<? extends StreamConnection> future, Timers timers) {
        try {
            return new Connection(future.get(), timers);
        } catch (IOException e) {
            return null;
        }
    }

    public boolean isOpen() {
        return !closed && channel.isOpen();
    }

    /**
     * Whether a request can be sent on it, between two calls. What has come unasked by then, a second answer to the
     * call before or the other side's close, would be taken for the next call's answer.
     */
    public boolean isUsable() {
        if (isOpen()) {
            try {
                if (channel.getSourceChannel().read(READ.get().clear()) != 0) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }
        return isOpen();
    }

    public void close() {
        forgetHead();
        closed = true;
        call = null;
        IoUtils.safeClose(channel);
    }

    /** Sends a request, given whole, in as many buffers as it comes in. */
    public void send(Call to, ByteBuffer... bytes) {
        request = bytes;
        parser = new ResponseParser();
        headTold = false;
        call = to;
        writable();
    }

    /**
     * Asks for the next piece of the body. It comes when the I/O thread has looked at all sockets again: a wake-up
     * would be a task, and a backend that sends without a pause would have the thread to itself.
     */
    public void more() {
        if (!closed) {
            channel.getSourceChannel().resumeReads();
        }
    }

    /** Takes {@link #more} back: a piece is on its way to its reader after all. */
    public void pause() {
        if (!closed) {
            channel.getSourceChannel().suspendReads();
        }
    }

    private void writable() {
        try {
            while (request != null && request[request.length - 1].hasRemaining()) {
                if (channel.getSinkChannel().write(request, 0, request.length) == 0) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
            }
            if (!channel.getSinkChannel().flush()) {
                channel.getSinkChannel().resumeWrites();
                return;
            }
            request = null;
            channel.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            // The answer may have been sent before the other side closed: readable() looks for it.
            writeFailed = true;
            channel.getSinkChannel().suspendWrites();
            channel.getSourceChannel().wakeupReads();
        }
    }

    private void readable() {
        timers.handlingEvent();
        if (closed) {
            return;
        }
        Call told = call;
        Guard.run(this::take, "an answer could not be taken", () -> {
            close();
            if (told != null) {
                told.broken(Break.UNREADABLE);
            }
        });
    }

    private void take() {
        ByteBuffer in = READ.get().clear();
        int n = read(in);
        try {
            if (n == 0 && writeFailed) {
                // Nobody will answer a request of which the rest can't be written.
                finish(false, Break.CLOSED);
                return;
            }
            if (n == 0) {
                channel.getSourceChannel().resumeReads();
                return;
            }
            if (call == null) {
                close();
                return;
            }
            if (n < 0) {
                finish(n != RESET && parser.eof(), Break.CLOSED);
                return;
            }
            in.flip();
            ByteBuffer body = ByteBuffer.allocate(n);
            parser.feed(in, body);
            body.flip();
            expectHead();
            tell(body);
        } catch (IOException e) {
            finish(false, Break.UNREADABLE);
        }
    }

    /** Bytes read, below 0 if the other side has closed the connection, {@link #RESET} if it broke. */
    private int read(ByteBuffer in) {
        try {
            return channel.getSourceChannel().read(in);
        } catch (IOException e) {
            return RESET;
        }
    }

    /** A head comes in one piece or soon after; one that begins and does not end would hold its call for long. */
    private void expectHead() {
        if (parser.head() != null) {
            forgetHead();
        } else if (headTimer == null) {
            headTimer = timers.after(HEAD, () -> finish(false, Break.UNFINISHED_HEAD));
        }
    }

    private void forgetHead() {
        if (headTimer != null) {
            headTimer.cancel();
            headTimer = null;
        }
    }

    private void tell(ByteBuffer body) {
        if (parser.head() != null && !headTold) {
            headTold = true;
            call.head(parser.head());
        }
        if (closed) {
            return;
        }
        boolean done = parser.done();
        if (body.hasRemaining()) {
            channel.getSourceChannel().suspendReads();
            call.body(body);
        }
        if (done) {
            finish(true, Break.CLOSED);
        }
    }

    /** The call is whole, or broke so. */
    private void finish(boolean whole, Break how) {
        if (closed) {
            return;
        }
        forgetHead();
        Call told = call;
        boolean written = request == null;
        boolean reusable = whole && written && parser.head().keepAlive() && !parser.surplus();
        call = null;
        if (reusable) {
            channel.getSourceChannel().resumeReads();
        } else {
            close();
        }
        if (told == null) {
            return;
        }
        if (whole) {
            told.end(reusable);
        } else {
            told.broken(written ? how : Break.NOT_WRITTEN);
        }
    }
}
