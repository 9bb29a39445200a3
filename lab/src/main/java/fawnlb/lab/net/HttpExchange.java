package fawnlb.lab.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * A connection of an {@link HttpServer} and the request on it. The handler of the request writes the bytes of the
 * response, head included. All methods are called on the server's I/O thread.
 */
public final class HttpExchange {
    private final StreamConnection channel;
    private final XnioExecutor executor;
    private final HttpServer.Handler handler;
    private final Consumer<HttpExchange> onClosed;
    private final HttpRequestParser parser = new HttpRequestParser();
    private final Deque<ByteBuffer> outbound = new ArrayDeque<>();
    private Runnable closeListener = () -> {};
    private boolean closeAfterFlush;
    private boolean closed;
    private boolean closedByClient;
    private boolean silent;
    private FaultInjector faultInjector;
    /** Outlives its response, whose bytes it holds back. */
    private FaultInjector slowInjector;

    private int responseBytes;

    HttpExchange(
            StreamConnection channel,
            XnioExecutor executor,
            HttpServer.Handler handler,
            Consumer<HttpExchange> onClosed) {
        this.channel = channel;
        this.executor = executor;
        this.handler = handler;
        this.onClosed = onClosed;
        channel.getSourceChannel().setReadListener(c -> onReadable());
        channel.getSinkChannel().setWriteListener(c -> onWritable());
        channel.getSourceChannel().resumeReads();
    }

    /** Returns whether neither side has closed the connection. */
    public boolean isOpen() {
        return !closed;
    }

    /** Replaces the listener that is called once when either side has closed the connection. */
    public void setCloseListener(Runnable listener) {
        closeListener = listener;
    }

    /** Stops reading and writing for good and leaves the connection open. */
    public void stopCommunicating() {
        silent = true;
        outbound.clear();
        channel.getSourceChannel().suspendReads();
        channel.getSinkChannel().suspendWrites();
    }

    /** Writes a part of the response in UTF-8. */
    public void write(String text) {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a part of the response, subject to the injected fault. */
    public void write(byte[] bytes) {
        responseBytes += bytes.length;
        if (faultInjector != null) {
            faultInjector.write(bytes);
        } else {
            send(bytes);
        }
    }

    /** Applies the fault to the next response alone; null for none. */
    public void injectFault(Fault fault) {
        faultInjector = fault == null ? null : new FaultInjector(this, fault, executor);
        slowInjector = fault != null && fault.kind() == Fault.Kind.SLOW_EVENT ? faultInjector : null;
        responseBytes = 0;
    }

    /** Ends the response that {@link #injectFault} began and returns its length in bytes without the fault. */
    public int endResponse() {
        FaultInjector injector = faultInjector;
        faultInjector = null;
        if (injector != null) {
            injector.endResponse();
        }
        return responseBytes;
    }

    /** Returns whether the current response has been altered by its fault. */
    public boolean isFaultInjected() {
        return faultInjector != null && faultInjector.isInjected();
    }

    /** Returns whether the current response sends what never becomes an event. */
    public boolean isEndless() {
        return isFaultInjected() && faultInjector.kind().isEndless();
    }

    /** Returns whether bytes of the latest response with a {@link Fault.Kind#SLOW_EVENT} have yet to be sent. */
    public boolean isWritingSlowly() {
        return slowInjector != null && slowInjector.isBuffering();
    }

    /** Returns whether it was the client that closed or reset the connection. */
    public boolean isClosedByClient() {
        return closedByClient;
    }

    /** Sends bytes as they are, whatever fault is injected. */
    void send(byte[] bytes) {
        if (!closed && !silent) {
            outbound.add(ByteBuffer.wrap(bytes));
            onWritable();
        }
    }

    /** Closes the sending direction; the connection is still read. */
    void shutdownOutput() {
        try {
            channel.getSinkChannel().shutdownWrites();
            channel.getSinkChannel().flush();
        } catch (IOException e) {
            close();
        }
    }

    /** Closes the connection when all bytes have been written. */
    public void closeWhenFlushed() {
        closeAfterFlush = true;
        onWritable();
    }

    /** Closes the connection with a TCP reset. */
    public void reset() {
        try {
            channel.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException | IllegalArgumentException e) {
            // The connection can't be reset any more and is closed in the ordinary way.
        }
        close();
    }

    /** Closes the connection and calls the close listener, unless it is closed already. */
    public void close() {
        if (!closed) {
            closed = true;
            onClosed.accept(this);
            IoUtils.safeClose(channel);
            Runnable listener = closeListener;
            closeListener = () -> {};
            listener.run();
        }
    }

    private void onWritable() {
        try {
            while (!outbound.isEmpty()) {
                if (channel.getSinkChannel().write(outbound.peek()) == 0) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
                if (!outbound.peek().hasRemaining()) {
                    outbound.poll();
                }
            }
            channel.getSinkChannel().suspendWrites();
            if (closeAfterFlush) {
                close();
            }
        } catch (IOException e) {
            onClosedByClient();
        }
    }

    private void onClosedByClient() {
        closedByClient = !closed;
        close();
    }

    private void onReadable() {
        try {
            while (!closed && !silent) {
                int count = channel.getSourceChannel().read(parser.writableBuffer());
                if (count < 0) {
                    onClosedByClient();
                    return;
                }
                if (count == 0) {
                    return;
                }
                parser.poll().ifPresent(request -> handler.onRequest(request, this));
            }
        } catch (IOException e) {
            onClosedByClient();
        }
    }
}
