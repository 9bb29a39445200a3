package fawnlb.lab.load;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/** The connections of emulated clients to one node: it reuses idle ones, the latest first. Bound to one I/O thread. */
final class NodeConnections {
    private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000;

    private final XnioIoThread thread;
    private final Timers timers;
    private final String nodeName;
    private final InetSocketAddress address;
    private final Deque<HttpClientConnection> idle = new ArrayDeque<>();

    NodeConnections(XnioIoThread thread, Timers timers, String nodeName, InetSocketAddress address) {
        this.thread = thread;
        this.timers = timers;
        this.nodeName = nodeName;
        this.address = address;
    }

    String nodeName() {
        return nodeName;
    }

    /** Removes and returns an idle connection that can be reused, or null if there is none. */
    HttpClientConnection pollIdle() {
        while (!idle.isEmpty()) {
            HttpClientConnection connection = idle.pollLast();
            if (connection.isUsable()) {
                return connection;
            }
        }
        return null;
    }

    /** Opens a new connection and passes it to the callback, or null if that failed. */
    void open(Consumer<HttpClientConnection> callback) {
        HttpClientConnection.connect(thread, timers, address, CONNECT_TIMEOUT_NANOS, callback::accept);
    }

    /** Keeps a connection for the next request. */
    void release(HttpClientConnection connection) {
        idle.addLast(connection);
    }

    /** Forgets all idle connections, after one of them turned out to be closed by the node. */
    void discardIdle() {
        idle.clear();
    }
}
