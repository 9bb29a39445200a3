package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import fawnlb.memory.MemoryBudget;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.ExchangeCompletionListener.NextListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.List;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;

/**
 * Tracks the client connections of this process from their accept on, and what each of them is doing.
 *
 * <p>Over a limit, the connections that have been idle for longest are closed, so that a client which opens hundreds of
 * connections and stays silent can't keep out clients that send requests. At a graceful shutdown, idle connections are
 * closed before the process ends. A request that is written a moment later would be lost with the process, while a
 * client that finds its connection closed retries elsewhere.
 *
 * <p>A connection on which a part of a request's head has been read is not idle. It is closed at the head's timeout,
 * which begins with the head's first byte, or to make room where no idle connection is left.
 */
@EventLoopOnly
public final class ClientConnectionTracker {
    /** How many connections over the limit are accepted, only to answer their requests with a rejection. */
    private static final int CONNECTIONS_OVER_LIMIT = 12;

    /**
     * The limits of client connections.
     *
     * @param maxConnections how many connections the fronts may have open; over that, idle ones are closed
     * @param idleTimeoutNanos how long a connection may be idle
     * @param requestHeadTimeoutNanos how long the head of a request may take from its first byte
     */
    public record Limits(int maxConnections, long idleTimeoutNanos, long requestHeadTimeoutNanos) {}

    /** Whether a request can be served. */
    public enum RequestAdmission {
        ADMITTED,
        /** There are too many connections. */
        NO_CONNECTION,
        /** There is no room for the request in memory. */
        NO_MEMORY
    }

    private final Limits limits;
    private final Timers timers;
    private final ConnectionTable connections;
    private final RequestMemory memory;
    private final ConnectionCloser closer;
    private final ConnectionCapacity capacity;
    private volatile boolean shuttingDown;

    /**
     * Creates a tracker, which starts at once to close connections at their timeouts.
     *
     * @param budget in which requests are reserved without their bodies
     * @param slowBodies ends requests whose bodies arrive slowly, to make room for other connections
     */
    public ClientConnectionTracker(Limits limits, Timers timers, MemoryBudget budget, SlowBodies slowBodies) {
        this.limits = limits;
        this.timers = timers;
        this.connections = new ConnectionTable(timers, this::onConnectionClosed);
        this.memory = new RequestMemory(budget);
        this.closer = new ConnectionCloser(connections, limits, timers, slowBodies);
        this.capacity = new ConnectionCapacity(connections, closer::tryMakeRoom, timers);
        budget.addReclaimer(closer::closeOldestPartialHead);
        closer.start();
    }

    private void onConnectionClosed(ConnectionQuota quota) {
        capacity.onConnectionClosed(quota);
    }

    /**
     * Divides the connections of clients among the fronts.
     *
     * @param listeners the names of the fronts' listeners in metrics
     * @return their quotas, in the same order
     */
    public List<ConnectionQuota> divideAmongFronts(String... listeners) {
        return divide(limits.maxConnections(), CONNECTIONS_OVER_LIMIT, listeners);
    }

    /**
     * Gives a listener connections beside those of the fronts. One of them only has its requests rejected.
     *
     * @param listener its name in metrics
     */
    public ConnectionQuota reserveFor(String listener, int maxDescriptors) {
        return divide(maxDescriptors - 1, 1, listener).get(0);
    }

    private List<ConnectionQuota> divide(int maxConnections, int maxOverLimit, String... listeners) {
        ConnectionLimit limit = new ConnectionLimit(maxConnections, maxOverLimit, List.of(listeners));
        capacity.publish(limit);
        return limit.quotas();
    }

    /** Returns whether a listener may accept one more connection. */
    public boolean hasRoom(ConnectionQuota quota) {
        return capacity.hasRoom(quota);
    }

    /** Runs a task once when there may be room for a connection. */
    public void whenRoom(Runnable task) {
        capacity.whenRoom(task);
    }

    /**
     * Takes a new connection, for which there was room, and passes it to the listener that reads its requests.
     *
     * @param queuedNanos how long its first request may have waited in the kernel's accept queue, in nanoseconds
     */
    public void accept(
            StreamConnection connection,
            ConnectionQuota quota,
            long queuedNanos,
            ChannelListener<? super StreamConnection> requestReader) {
        capacity.makeRoomForAccepted(quota);
        connections.add(connection, quota, queuedNanos);
        memory.add(connection);
        observeReads(connection);
        requestReader.handleEvent(connection);
        connections.onFirstReadDone(connection);
        observeClose(connection);
        reservePartialHead(connection);
    }

    private void observeReads(StreamConnection connection) {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(new ReadObserverConduit(
                source.getConduit(),
                timers::onSocketEvent,
                (buffer, from, to) -> onBytesRead(connection, buffer, from, to)));
        source.getConduit()
                .setReadReadyHandler(new AfterReadHandler(
                        new ReadReadyHandler.ChannelListenerHandler<>(source), () -> reservePartialHead(connection)));
    }

    private void onBytesRead(StreamConnection connection, ByteBuffer buffer, int from, int to) {
        connections.onBytesRead(connection);
        if (connections.isReadingHead(connection)) {
            memory.addHeadBytes(connection, buffer, from, to);
        }
    }

    /** A head that is not complete after a read may stay so: it is reserved, or its connection is closed. */
    private void reservePartialHead(StreamConnection connection) {
        if (connections.isReadingHead(connection) && !memory.tryReserveHead(connection)) {
            closer.closeForMemory(connection);
        }
    }

    private void observeClose(StreamConnection connection) {
        ChannelListener<? super StreamConnection> undertowCloseListener = connection.getCloseListener();
        connection.setCloseListener(c -> {
            remove(connection);
            ChannelListeners.invokeChannelListener(connection, undertowCloseListener);
        });
        if (!connection.isOpen()) {
            remove(connection);
        }
    }

    private void remove(StreamConnection connection) {
        connections.remove(connection);
        memory.remove(connection);
    }

    /**
     * Must be called at the start of each request.
     *
     * <p>Connections over the limit are accepted, because a request on a connection that waits in the kernel's accept
     * queue would get no response at all.
     *
     * @return anything but {@code ADMITTED} if the request must be rejected
     */
    public RequestAdmission onRequestStarted(HttpServerExchange exchange) {
        StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
        long queuedNanos = connections.startServing(connection);
        if (queuedNanos != ConnectionTable.NOT_QUEUED) {
            ClientExchange.recordQueueingDelay(exchange, queuedNanos);
        }
        RequestAdmission admission = admit(connection, exchange);
        if (admission == RequestAdmission.NO_CONNECTION) {
            exchange.setPersistent(false);
        }
        if (shuttingDown) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((completed, next) -> onExchangeComplete(connection, completed, next));
        return admission;
    }

    private RequestAdmission admit(StreamConnection connection, HttpServerExchange exchange) {
        ConnectionTable.Entry entry = connections.get(connection);
        if (entry != null && !capacity.tryAdmit(entry.quota())) {
            return RequestAdmission.NO_CONNECTION;
        }
        return memory.tryReserveRequest(connection, exchange) ? RequestAdmission.ADMITTED : RequestAdmission.NO_MEMORY;
    }

    private void onExchangeComplete(StreamConnection connection, HttpServerExchange exchange, NextListener next) {
        if (!exchange.isPersistent()) {
            closeAfterLastExchange(connection, exchange, next);
        } else if (((HttpServerConnection) exchange.getConnection()).getExtraBytes() == null) {
            memory.releaseRequest(connection);
            enterWithoutRequest(connection, ConnectionState.IDLE);
            next.proceed();
        } else {
            memory.releaseRequest(connection);
            // The client has sent its next request, or a part of it, before it got this response.
            runAfterNextPoll(connection, () -> readNextRequest(connection, exchange, next));
        }
    }

    /** Undertow reads the bytes that it has already as a task of the I/O thread. */
    private void readNextRequest(StreamConnection connection, HttpServerExchange exchange, NextListener next) {
        enterWithoutRequest(connection, ConnectionState.READING_HEAD);
        PooledByteBuffer readAhead = ((HttpServerConnection) exchange.getConnection()).getExtraBytes();
        boolean isHeadComplete = readAhead != null && addHeadBytes(connection, readAhead.getBuffer());
        next.proceed();
        if (!isHeadComplete) {
            connection.getIoThread().execute(() -> reservePartialHead(connection));
        }
    }

    private void closeAfterLastExchange(StreamConnection connection, HttpServerExchange exchange, NextListener next) {
        enterWithoutRequest(connection, ConnectionState.CLOSING);
        if (LingeringClose.isRequiredFor(exchange)) {
            LingeringClose.begin(exchange, timers);
        } else {
            next.proceed();
        }
    }

    private void enterWithoutRequest(StreamConnection connection, ConnectionState state) {
        connections.enterIfPresent(connection, state);
        capacity.onRequestEnded();
    }

    private boolean addHeadBytes(StreamConnection connection, ByteBuffer readAhead) {
        return memory.addHeadBytes(connection, readAhead, readAhead.position(), readAhead.limit());
    }

    /**
     * Runs a task after the I/O thread has polled all sockets, once the connection's client can take more bytes.
     * Undertow would run the next request as a task of the thread, and XNIO polls no socket and runs no timer while it
     * has tasks: 600 requests sent at once delayed endpoint lists and streams by over a second.
     */
    private static void runAfterNextPoll(StreamConnection connection, Runnable task) {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        sink.setWriteListener(c -> {
            sink.suspendWrites();
            sink.setWriteListener(null);
            task.run();
        });
        sink.resumeWrites();
    }

    /** Lets each connection close after its current or next response. */
    @ThreadSafe
    public void beginGracefulShutdown() {
        shuttingDown = true;
    }

    /**
     * Closes the connections that are idle, or that wait for their client to close them after their last response.
     *
     * @return how many connections are left, with a request or a part of one
     */
    public int closeIdleConnections() {
        return closer.closeAllWithoutRequest();
    }
}
