package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.eventloop.UncaughtErrorHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The client's side of one HTTP/1.1 connection. It carries one request at a time and never retries a request by itself.
 *
 * <p>All methods must be called on the connection's I/O thread, and all handlers are called on it.
 */
@EventLoopOnly
public final class HttpClientConnection {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** Bytes are copied out of the buffer before the next read, so one buffer a thread is enough. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

    /** What {@link #readOrReset} returns for a read that failed; the end of the input is -1. */
    private static final int RESET = -2;

    /**
     * A request of this size is with the remote side's kernel as soon as it is written, and a close takes nothing back.
     */
    private static final long MAX_DELIVERED_BYTES = 16 * 1024;

    private final StreamConnection channel;
    private final Timers timers;
    private final RequestWriter requestWriter;
    private final ResponseHeadTimeout headTimeout;
    private ResponseParser parser;
    private ResponseHandler responseHandler;
    private boolean headDelivered;
    private boolean writeFailed;
    private boolean closed;

    /** Receives the response to one request: perhaps a head and parts of the body, and then exactly one of two ends. */
    public interface ResponseHandler {
        /** Called at most once, before the first part of the body. */
        void onHead(ResponseHead head);

        /** Called with a part of the body. The next part comes after {@link HttpClientConnection#resumeReading}. */
        void onBody(ByteBuffer bytes);

        /**
         * Called when bytes of the response came that are no part of its head or body, such as a part of a chunk's
         * size. The next bytes are read without being asked for.
         *
         * @param wellFormedBytes how many of them are such as the framing of the response's other chunks has; the rest
         *     are extensions, trailers and longer sizes
         */
        default void onFraming(int wellFormedBytes) {}

        /**
         * Called when the response is complete.
         *
         * @param reusable whether the connection can carry another request; if not, it is closed
         */
        void onComplete(boolean reusable);

        /** Called when the request or its response failed. The connection is closed. */
        void onFailure(CallFailure failure);
    }

    /** How a request or its response can fail. */
    public enum CallFailure {
        /** The connection failed before the request's last byte was passed to the kernel. */
        REQUEST_NOT_WRITTEN,
        /** The connection was closed or reset before the response was complete. */
        CONNECTION_CLOSED,
        /** The response could not be parsed. */
        MALFORMED_RESPONSE,
        /** The head of the response began and did not end in time. */
        HEAD_TIMEOUT
    }

    /** Receives the result of a connect. Exactly one of its methods is called, once. */
    @FunctionalInterface
    public interface ConnectHandler {
        /** Called with the connection, or with null if the connect failed or timed out. */
        void onConnected(HttpClientConnection connectionOrNull);

        /**
         * Called instead if the connect failed for a reason of this machine, such as no free descriptor, port or
         * buffer, or no route. The failure says nothing about the remote side.
         */
        default void onLocalFailure(IOException cause) {
            onConnected(null);
        }
    }

    HttpClientConnection(StreamConnection channel, Timers timers) {
        this.channel = channel;
        this.timers = timers;
        this.headTimeout = new ResponseHeadTimeout(timers, () -> fail(CallFailure.HEAD_TIMEOUT));
        this.requestWriter = new RequestWriter(channel.getSinkChannel());
        channel.getSourceChannel().setReadListener(c -> onReadable());
        channel.getSinkChannel().setWriteListener(c -> onWritable());
        channel.getSourceChannel().resumeReads();
    }

    /**
     * Connects to an address. The handler is called once, on the given thread, at the latest after the timeout.
     *
     * @param timeoutNanos after how many nanoseconds the connect is cancelled
     */
    public static void connect(
            XnioIoThread thread,
            Timers timers,
            InetSocketAddress address,
            long timeoutNanos,
            ConnectHandler connectHandler) {
        new Connector(timers, connectHandler).connect(thread, address, timeoutNanos);
    }

    /** Whether neither side has closed the connection, as far as this side has read. */
    public boolean isOpen() {
        return !closed && channel.isOpen();
    }

    /**
     * Whether a request can be sent now. Must be called between two requests. Bytes that came since the last response,
     * or the remote side's close, would be taken for the next response, so the connection is closed in that case.
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

    /** Closes the connection without a call to its handler. */
    public void close() {
        headTimeout.cancel();
        closed = true;
        responseHandler = null;
        requestWriter.discard();
        IoUtils.safeClose(channel);
    }

    /**
     * Gives up the request: closes the connection without a call to its handler. What the kernel has not sent yet of a
     * large request is not sent any more; a remote side that reads slowly would otherwise get the rest of it.
     */
    public void abort() {
        if (!headDelivered && requestWriter.requestBytes() > MAX_DELIVERED_BYTES) {
            ConnectionReset.resetOnClose(channel);
        }
        close();
    }

    /**
     * Sends a request. Must not be called before the previous request has ended.
     *
     * @param handler receives the response
     * @param request head and body, complete, in any number of buffers
     */
    public void send(ResponseHandler handler, ByteBuffer... request) {
        requestWriter.setRequest(request);
        parser = new ResponseParser();
        headDelivered = false;
        responseHandler = handler;
        onWritable();
    }

    /** Whether the last byte of the request was passed to the kernel, so that nothing of it is needed here. */
    public boolean isRequestWritten() {
        return requestWriter.isDone();
    }

    /**
     * Asks for the next part of the body. It comes after the I/O thread has polled all sockets again. An immediate read
     * would let a backend that sends without a pause occupy the thread.
     */
    public void resumeReading() {
        if (!closed) {
            channel.getSourceChannel().resumeReads();
        }
    }

    /** Revokes {@link #resumeReading}, because a part of the body is still on its way to its reader. */
    public void pauseReading() {
        if (!closed) {
            channel.getSourceChannel().suspendReads();
        }
    }

    private void onWritable() {
        try {
            requestWriter.write();
        } catch (IOException e) {
            // The remote side may have responded before it closed, so onReadable() still looks for a response.
            writeFailed = true;
            channel.getSourceChannel().wakeupReads();
        }
    }

    private void onReadable() {
        timers.onSocketEvent();
        if (closed) {
            return;
        }
        ResponseHandler handler = responseHandler;
        UncaughtErrorHandler.run(this::readResponse, "response handler failed", () -> {
            close();
            if (handler != null) {
                handler.onFailure(CallFailure.MALFORMED_RESPONSE);
            }
        });
    }

    private void readResponse() {
        ByteBuffer input = READ_BUFFER.get().clear();
        int count = readOrReset(input);
        if (count == 0) {
            onNothingRead();
        } else if (responseHandler == null) {
            // Nothing was requested, so these bytes or this close end the connection.
            close();
        } else if (count < 0) {
            onClosedByRemote(count);
        } else {
            parseResponse(input.flip());
        }
    }

    /** Returns the number of bytes, -1 if the remote side has closed the connection, {@link #RESET} if it failed. */
    private int readOrReset(ByteBuffer input) {
        try {
            return channel.getSourceChannel().read(input);
        } catch (IOException e) {
            return RESET;
        }
    }

    private void onNothingRead() {
        if (writeFailed) {
            // No response will come to a request whose rest can't be written.
            fail(CallFailure.CONNECTION_CLOSED);
        } else {
            channel.getSourceChannel().resumeReads();
        }
    }

    /** A reset ends no response, not even one that ends with its connection: half of it would look complete. */
    private void onClosedByRemote(int count) {
        if (count != RESET && parser.onEndOfInput()) {
            complete();
        } else {
            fail(CallFailure.CONNECTION_CLOSED);
        }
    }

    private void parseResponse(ByteBuffer input) {
        ByteBuffer body = ByteBuffer.allocate(input.remaining());
        try {
            parser.parse(input, body);
        } catch (MalformedResponseException e) {
            fail(CallFailure.MALFORMED_RESPONSE);
            return;
        }
        headTimeout.update(parser.isWithinHead());
        deliver(body.flip());
    }

    private void deliver(ByteBuffer body) {
        if (parser.head() != null && !headDelivered) {
            headDelivered = true;
            responseHandler.onHead(parser.head());
        }
        if (closed) {
            return;
        }
        boolean isComplete = parser.isComplete();
        if (body.hasRemaining()) {
            channel.getSourceChannel().suspendReads();
            responseHandler.onBody(body);
        } else if (headDelivered && !isComplete) {
            responseHandler.onFraming(parser.wellFormedFramingBytes());
        }
        if (isComplete) {
            complete();
        }
    }

    private void complete() {
        if (closed) {
            return;
        }
        boolean written = requestWriter.isDone();
        boolean reusable = written && parser.head().keepAlive() && !parser.hasSurplusBytes();
        ResponseHandler handler = detachHandler();
        if (reusable) {
            channel.getSourceChannel().resumeReads();
        } else {
            close();
        }
        if (handler != null) {
            handler.onComplete(reusable);
        }
    }

    private void fail(CallFailure failure) {
        if (closed) {
            return;
        }
        boolean written = requestWriter.isDone();
        ResponseHandler handler = detachHandler();
        close();
        if (handler != null) {
            handler.onFailure(written ? failure : CallFailure.REQUEST_NOT_WRITTEN);
        }
    }

    private ResponseHandler detachHandler() {
        headTimeout.cancel();
        ResponseHandler handler = responseHandler;
        responseHandler = null;
        return handler;
    }
}
