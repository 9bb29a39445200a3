package fawnlb.server;

import fawnlb.client.ClientConnectionTracker;
import fawnlb.client.ClientRequestHandler;
import fawnlb.client.ConnectionQuota;
import fawnlb.client.Listener;
import fawnlb.client.ListenerGroup;
import fawnlb.http.RequestHeadValidator;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/**
 * Sets up the server's HTTP listeners, with their limits on heads and sockets. It is used on the thread that starts the
 * server; the handlers run on the I/O thread.
 */
final class HttpListeners {
    private static final int IO_BUFFER_BYTES = 8192;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int MAX_REQUEST_HEAD_BYTES = 8 * 1024;

    private static final int MAX_REQUEST_HEADERS = 64;
    /** The cache would keep the values of a connection's last headers for as long as it is open. */
    private static final int CACHED_HEADERS = 0;

    private static final int LISTEN_BACKLOG_CONNECTIONS = 1000;
    /**
     * By default Linux buffers megabytes for a client that does not read, which hides from the server that it is slow.
     */
    private static final int CLIENT_SEND_BUFFER_BYTES = 64 * 1024;

    private final EventLoop eventLoop;
    private final ClientConnectionTracker connections;
    private final StartupRetry startupRetry;
    private final ListenerGroup listeners = new ListenerGroup();

    HttpListeners(EventLoop eventLoop, ClientConnectionTracker connections, StartupRetry startupRetry) {
        this.eventLoop = eventLoop;
        this.connections = connections;
        this.startupRetry = startupRetry;
    }

    /**
     * Binds a listener, starts to accept connections, and returns the address that it has been bound to.
     *
     * @param quota what the listener may hold of the connections; those beyond wait in the kernel's queue
     * @throws IOException if the address cannot be bound within the time that {@link StartupRetry} allows
     */
    InetSocketAddress open(InetSocketAddress address, HttpHandler handler, ConnectionQuota quota) throws IOException {
        Listener.SocketOptions options =
                new Listener.SocketOptions(LISTEN_BACKLOG_CONNECTIONS, CLIENT_SEND_BUFFER_BYTES);
        Listener.ConnectionHandler connectionHandler = createConnectionHandler(createHttpListener(handler), quota);
        Listener listener = startupRetry.run(
                address.toString(), () -> new Listener(address, options, eventLoop.timers(), connectionHandler));
        Metrics.registerGauge(
                Metric.LISTENER_STOPPED,
                quota.listener(),
                () -> TimeUnit.NANOSECONDS.toMillis(listener.stoppedNanos()));
        listener.start(eventLoop.thread());
        listeners.add(listener);
        return listener.address();
    }

    private Listener.ConnectionHandler createConnectionHandler(HttpOpenListener httpListener, ConnectionQuota quota) {
        return new Listener.ConnectionHandler() {
            @Override
            public boolean hasRoom() {
                return connections.hasRoom(quota);
            }

            @Override
            public void whenRoom(Runnable task) {
                connections.whenRoom(task);
            }

            @Override
            public void onAccepted(StreamConnection connection, long queuedNanos) {
                connections.accept(connection, quota, queuedNanos, httpListener);
            }
        };
    }

    private HttpOpenListener createHttpListener(HttpHandler handler) {
        HttpOpenListener httpListener = new HttpOpenListener(
                new DefaultByteBufferPool(true, IO_BUFFER_BYTES, MAX_POOLED_BUFFERS, 0),
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_REQUEST_HEAD_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_REQUEST_HEADERS)
                        .set(UndertowOptions.MAX_PARAMETERS, RequestHeadValidator.MAX_PARAMETERS)
                        .set(UndertowOptions.HTTP_HEADERS_CACHE_SIZE, CACHED_HEADERS)
                        .getMap());
        httpListener.setRootHandler(new ClientRequestHandler(connections, handler));
        return httpListener;
    }

    /**
     * Accepts the connections that wait in the kernel's queues, closes the listeners, and returns when that is done.
     */
    void closeGracefully() throws InterruptedException {
        listeners.closeGracefully(eventLoop.thread());
    }

    /** Closes the listeners at once. The kernel resets the connections that wait in its queues. */
    void closeNow() {
        listeners.closeNow();
    }
}
