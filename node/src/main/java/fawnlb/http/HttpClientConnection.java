package fawnlb.http;

import fawnlb.eventloop.Timers;
import fawnlb.eventloop.UncaughtErrorHandler;
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
public final class HttpClientConnection {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** What one read brings is copied out before the next, so a thread needs only one. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

    /** A connection that broke ends no answer, not even one that goes on to the connection's end. */
    private static final int RESET = -2;

    /** So long a head may take from its first byte to its end. */
    private static final long RESPONSE_HEAD_TIMEOUT_NANOS = 500_000_000;

    private final StreamConnection channel;
    private final Timers timers;
    private ByteBuffer[] unwrittenRequest;
    private ResponseParser parser;
    private ResponseHandler responseHandler;
    private Timers.Timer headTimeout;
    private boolean headDelivered;
    private boolean writeFailed;
    private boolean closed;

    /** What becomes of one call: perhaps head and pieces of the body, and always one of the two ends. */
    public interface ResponseHandler {
        void onHead(ResponseHead head);

        /** The next piece comes when {@link HttpClientConnection#resumeReading} is called. */
        void onBody(ByteBuffer bytes);

        /** The response is whole. */
        void onComplete(boolean reusable);

        /** The call broke. */
        void onFailure(CallFailure failure);
    }

    /** How a call can break. NOT_WRITTEN: before the request's last byte was handed to the network. */
    public enum CallFailure {
        REQUEST_NOT_WRITTEN,
        CONNECTION_CLOSED,
        MALFORMED_RESPONSE,
        HEAD_TIMEOUT
    }

    /** Hears whether a connect came up: a connection, or null. */
    @FunctionalInterface
    public interface ConnectHandler {
        void onConnected(HttpClientConnection connectionOrNull);

        /**
         * Instead, where it failed for a reason of this machine: no descriptor, port, buffer or route. It says nothing
         * of the other side.
         */
        default void onLocalFailure(IOException cause) {
            onConnected(null);
        }
    }

    private HttpClientConnection(StreamConnection channel, Timers timers) {
        this.channel = channel;
        this.timers = timers;
        channel.getSourceChannel().setReadListener(c -> onReadable());
        channel.getSinkChannel().setWriteListener(c -> onWritable());
        channel.getSourceChannel().resumeReads();
    }

    /** Connects; the answer comes once, at the latest after {@code timeoutNanos} nanoseconds. */
    public static void connect(
            XnioIoThread thread,
            Timers timers,
            InetSocketAddress address,
            long timeoutNanos,
            ConnectHandler connectHandler) {
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        // Taking the connect back frees its descriptor; one to a vanished machine would hold it for minutes.
        Timers.Timer timer = timers.schedule(timeoutNanos, future::cancel);
        future.addNotifier(
                (result, attachment) -> thread.execute(() -> {
                    timer.cancel();
                    if (result.getStatus() == IoFuture.Status.FAILED && isLocalFailure(result.getException())) {
                        connectHandler.onLocalFailure(result.getException());
                    } else {
                        connectHandler.onConnected(
                                result.getStatus() == IoFuture.Status.DONE ? toConnection(result, timers) : null);
                    }
                }),
                null);
    }

    /** The platform has exceptions of their own for what the other side or the way to it refuses. */
    private static boolean isLocalFailure(IOException cause) {
        return !(cause instanceof ConnectException
                || cause instanceof NoRouteToHostException
                || cause instanceof PortUnreachableException);
    }

    private static HttpClientConnection toConnection(IoFuture<? extends StreamConnection> future, Timers timers) {
        try {
            return new HttpClientConnection(future.get(), timers);
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
                if (channel.getSourceChannel().read(READ_BUFFER.get().clear()) != 0) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }
        return isOpen();
    }

    public void close() {
        cancelHeadTimeout();
        closed = true;
        responseHandler = null;
        IoUtils.safeClose(channel);
    }

    /** Sends a request, given whole, in as many buffers as it comes in. */
    public void send(ResponseHandler handler, ByteBuffer... request) {
        unwrittenRequest = request;
        parser = new ResponseParser();
        headDelivered = false;
        responseHandler = handler;
        onWritable();
    }

    /**
     * Asks for the next piece of the body. It comes when the I/O thread has looked at all sockets again: a wake-up
     * would be a task, and a backend that sends without a pause would have the thread to itself.
     */
    public void resumeReading() {
        if (!closed) {
            channel.getSourceChannel().resumeReads();
        }
    }

    /** Takes {@link #resumeReading} back: a piece is on its way to its reader after all. */
    public void pauseReading() {
        if (!closed) {
            channel.getSourceChannel().suspendReads();
        }
    }

    private void onWritable() {
        try {
            while (unwrittenRequest != null && unwrittenRequest[unwrittenRequest.length - 1].hasRemaining()) {
                if (channel.getSinkChannel().write(unwrittenRequest, 0, unwrittenRequest.length) == 0) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
            }
            if (!channel.getSinkChannel().flush()) {
                channel.getSinkChannel().resumeWrites();
                return;
            }
            unwrittenRequest = null;
            channel.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            // The answer may have been sent before the other side closed: readable() looks for it.
            writeFailed = true;
            channel.getSinkChannel().suspendWrites();
            channel.getSourceChannel().wakeupReads();
        }
    }

    private void onReadable() {
        timers.onSocketEvent();
        if (closed) {
            return;
        }
        ResponseHandler handler = responseHandler;
        UncaughtErrorHandler.run(this::readResponse, "an answer could not be taken", () -> {
            close();
            if (handler != null) {
                handler.onFailure(CallFailure.MALFORMED_RESPONSE);
            }
        });
    }

    private void readResponse() {
        ByteBuffer input = READ_BUFFER.get().clear();
        int count = readOrReset(input);
        try {
            if (count == 0 && writeFailed) {
                // Nobody will answer a request of which the rest can't be written.
                finish(false, CallFailure.CONNECTION_CLOSED);
                return;
            }
            if (count == 0) {
                channel.getSourceChannel().resumeReads();
                return;
            }
            if (responseHandler == null) {
                close();
                return;
            }
            if (count < 0) {
                finish(count != RESET && parser.onEndOfInput(), CallFailure.CONNECTION_CLOSED);
                return;
            }
            input.flip();
            ByteBuffer body = ByteBuffer.allocate(count);
            parser.parse(input, body);
            body.flip();
            updateHeadTimeout();
            deliver(body);
        } catch (IOException e) {
            finish(false, CallFailure.MALFORMED_RESPONSE);
        }
    }

    /** Bytes read, below 0 if the other side has closed the connection, {@link #RESET} if it broke. */
    private int readOrReset(ByteBuffer input) {
        try {
            return channel.getSourceChannel().read(input);
        } catch (IOException e) {
            return RESET;
        }
    }

    /** A head comes in one piece or soon after; one that begins and does not end would hold its call for long. */
    private void updateHeadTimeout() {
        if (parser.head() != null) {
            cancelHeadTimeout();
        } else if (headTimeout == null) {
            headTimeout = timers.schedule(RESPONSE_HEAD_TIMEOUT_NANOS, () -> finish(false, CallFailure.HEAD_TIMEOUT));
        }
    }

    private void cancelHeadTimeout() {
        if (headTimeout != null) {
            headTimeout.cancel();
            headTimeout = null;
        }
    }

    private void deliver(ByteBuffer body) {
        if (parser.head() != null && !headDelivered) {
            headDelivered = true;
            responseHandler.onHead(parser.head());
        }
        if (closed) {
            return;
        }
        boolean complete = parser.isComplete();
        if (body.hasRemaining()) {
            channel.getSourceChannel().suspendReads();
            responseHandler.onBody(body);
        }
        if (complete) {
            finish(true, CallFailure.CONNECTION_CLOSED);
        }
    }

    /** The call is whole, or broke so. */
    private void finish(boolean complete, CallFailure failure) {
        if (closed) {
            return;
        }
        cancelHeadTimeout();
        ResponseHandler handler = responseHandler;
        boolean written = unwrittenRequest == null;
        boolean reusable = complete && written && parser.head().keepAlive() && !parser.hasSurplusBytes();
        responseHandler = null;
        if (reusable) {
            channel.getSourceChannel().resumeReads();
        } else {
            close();
        }
        if (handler == null) {
            return;
        }
        if (complete) {
            handler.onComplete(reusable);
        } else {
            handler.onFailure(written ? failure : CallFailure.REQUEST_NOT_WRITTEN);
        }
    }
}
