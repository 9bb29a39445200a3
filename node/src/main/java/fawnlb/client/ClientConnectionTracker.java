package fawnlb.client;

import fawnlb.eventloop.Timers;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metrics;
import fawnlb.metrics.Metrics.Metric;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The client connections of a node from their accept on, and what each is doing. Beyond a limit those are closed that
 * have been idle for longest: a client that connects by hundreds and stays silent must not keep out those who ask. At a
 * planned end an idle one must be closed before the process ends: a request written to it a moment later would be lost
 * with the process, while one that meets a closed connection is sent again elsewhere.
 *
 * <p>A connection on which a part of a request's head has come is not idle. It is closed to make room where no idle one
 * is left; apart from that the time limit for heads ends it, which begins with their first byte.
 */
public final class ClientConnectionTracker {
    /** Connections over the limit, kept only to be told so. */
    private static final int CONNECTIONS_OVER_LIMIT = 12;

    private static final long MIN_CHECK_INTERVAL_NANOS = 20_000_000;
    /** The limits are looked at so often at least, since a head may begin right after a look, in nanoseconds. */
    private static final long MAX_CHECK_INTERVAL_NANOS = 250_000_000;

    /**
     * What holds for clients' connections; times in nanoseconds.
     *
     * @param open how many may be open; beyond that idle ones make room
     * @param idleTimeoutNanos how long one may be idle
     * @param requestHeadTimeoutNanos how long the head of a request may take from its first byte
     */
    public record Limits(int maxConnections, long idleTimeoutNanos, long requestHeadTimeoutNanos) {}

    /** CLOSING: its last answer is out; what its client still sends is read and dropped. */
    private enum ConnectionState {
        IDLE,
        READING_HEAD,
        SERVING,
        CLOSING
    }

    /** Why the node closes a connection of its own accord. */
    private enum CloseReason {
        IDLE_LIMIT,
        HEAD_LIMIT,
        CLOSING_LIMIT,
        NO_ROOM,
        NO_ROOM_UNREAD,
        PLANNED_END
    }

    /** What a connection has been doing, and since when, in nanoseconds. */
    private record TrackedState(ConnectionState state, long sinceNanos) {
        boolean is(ConnectionState expected) {
            return state == expected;
        }
    }

    /** Those that have been idle, or reading a head, for longest come first. */
    private final Map<StreamConnection, TrackedState> connections = new LinkedHashMap<>();
    /** Since when the first request of a connection may have waited in the kernel's queue. */
    private final Map<StreamConnection, Long> queuedSinceNanos = new HashMap<>();

    private final Limits limits;
    private final Timers timers;
    private volatile boolean draining;
    private boolean makingRoom;

    public ClientConnectionTracker(Limits limits, Timers timers) {
        this.limits = limits;
        this.timers = timers;
        timers.schedule(limits.idleTimeoutNanos(), this::closeExpired);
    }

    /**
     * Closes those that have been idle, reading a head, or closing, for too long. Undertow's own timers would close
     * upon a request that lies unread on a busy processor, and count by the wall clock.
     */
    private void closeExpired() {
        long nextCheckNanos = Math.min(
                closeExpired(ConnectionState.READING_HEAD, limits.requestHeadTimeoutNanos(), CloseReason.HEAD_LIMIT),
                Math.min(
                        closeExpired(ConnectionState.IDLE, limits.idleTimeoutNanos(), CloseReason.IDLE_LIMIT),
                        closeExpired(ConnectionState.CLOSING, limits.idleTimeoutNanos(), CloseReason.CLOSING_LIMIT)));
        timers.schedule(
                Math.max(MIN_CHECK_INTERVAL_NANOS, Math.min(MAX_CHECK_INTERVAL_NANOS, nextCheckNanos)),
                this::closeExpired);
    }

    /** Closes those that have been in this phase for too long; in how many nanoseconds to look again. */
    private long closeExpired(ConnectionState state, long timeoutNanos, CloseReason reason) {
        long nowNanos = timers.now();
        StreamConnection oldest = oldestIn(state);
        while (oldest != null && nowNanos - stateOf(oldest).sinceNanos() >= timeoutNanos) {
            closeUnlessRequestPending(oldest, reason);
            oldest = oldestIn(state);
        }
        return oldest == null ? timeoutNanos : stateOf(oldest).sinceNanos() + timeoutNanos - nowNanos;
    }

    /** So many may be accepted at a time, those over the limit included. */
    public int maxAcceptedConnections() {
        return limits.maxConnections() + CONNECTIONS_OVER_LIMIT;
    }

    /**
     * Takes a new connection and hands it to whoever reads it.
     *
     * @param queuedNanos for how long its first request may have been in the kernel's queue, in nanoseconds
     */
    public void accept(
            StreamConnection connection, long queuedNanos, ChannelListener<? super StreamConnection> requestReader) {
        if (size() >= limits.maxConnections() && !closeOneToMakeRoom() && size() >= maxAcceptedConnections()) {
            Metrics.increment(Metric.CLIENT_CONNECTIONS_CLOSED, CloseReason.NO_ROOM_UNREAD);
            IoUtils.safeClose(connection);
            return;
        }
        enterState(connection, ConnectionState.IDLE);
        if (queuedNanos > 0) {
            queuedSinceNanos.put(connection, timers.now() - queuedNanos);
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(
                new ReadObserverConduit(source.getConduit(), timers::onSocketEvent, () -> onBytesRead(connection)));
        requestReader.handleEvent(connection);
        ChannelListener<? super StreamConnection> undertowCloseListener = connection.getCloseListener();
        connection.setCloseListener(c -> {
            remove(connection);
            ChannelListeners.invokeChannelListener(connection, undertowCloseListener);
        });
        if (!connection.isOpen()) {
            remove(connection);
        }
    }

    /**
     * Tells of each read, and of each that brings bytes, whoever reads: Undertow does not say that a head has begun.
     */
    private static final class ReadObserverConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final Runnable beforeRead;
        private final Runnable onBytesRead;

        ReadObserverConduit(StreamSourceConduit next, Runnable reading, Runnable bytesRead) {
            super(next);
            this.beforeRead = reading;
            this.onBytesRead = bytesRead;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            beforeRead.run();
            int count = super.read(into);
            if (count > 0) {
                onBytesRead.run();
            }
            return count;
        }
    }

    private synchronized void onBytesRead(StreamConnection connection) {
        TrackedState before = connections.get(connection);
        if (before != null && before.is(ConnectionState.IDLE)) {
            enterState(connection, ConnectionState.READING_HEAD);
        }
    }

    /** Puts the connection behind all that entered their phase before. */
    private synchronized void enterState(StreamConnection connection, ConnectionState state) {
        connections.remove(connection);
        connections.put(connection, new TrackedState(state, timers.now()));
    }

    private synchronized void remove(StreamConnection connection) {
        connections.remove(connection);
        queuedSinceNanos.remove(connection);
    }

    /**
     * Told of each request at its start; false if there is no room for its connection, and it must be refused. A
     * connection left waiting to be accepted would be worse: its request counts as taken and gets no answer.
     */
    public boolean onRequestStarted(HttpServerExchange exchange) {
        StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
        synchronized (this) {
            connections.replace(connection, new TrackedState(ConnectionState.SERVING, timers.now()));
            Long sinceNanos = queuedSinceNanos.remove(connection);
            if (sinceNanos != null) {
                ClientExchange.recordQueueingDelay(exchange, timers.now() - sinceNanos);
            }
        }
        boolean hasRoom = size() <= limits.maxConnections() || closeOneToMakeRoom();
        if (!hasRoom) {
            exchange.setPersistent(false);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            if (!completed.isPersistent()) {
                enterStateIfOpen(connection, ConnectionState.CLOSING);
                if (LingeringClose.isRequiredFor(completed)) {
                    LingeringClose.begin(completed, timers);
                } else {
                    next.proceed();
                }
            } else if (((HttpServerConnection) completed.getConnection()).getExtraBytes() == null) {
                enterStateIfOpen(connection, ConnectionState.IDLE);
                next.proceed();
            } else {
                // The next request, or a part of it, came early.
                runAfterNextPoll(connection, () -> {
                    enterStateIfOpen(connection, ConnectionState.READING_HEAD);
                    next.proceed();
                });
            }
        });
        return hasRoom;
    }

    /**
     * Lets the I/O thread look at all sockets before it goes on with this connection, whose client takes what it got.
     * Undertow would queue the next request as a task, and XNIO looks at no socket and no timer while tasks are left:
     * 600 requests sent at once kept lists and streams waiting for over a second.
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

    private synchronized void enterStateIfOpen(StreamConnection connection, ConnectionState state) {
        if (connections.containsKey(connection)) {
            enterState(connection, state);
        }
    }

    /**
     * Closes one on which no request has come, idle ones first. False if there is none, or if this is just being done:
     * a request that was found by it needs no second look.
     */
    private boolean closeOneToMakeRoom() {
        if (makingRoom) {
            return false;
        }
        makingRoom = true;
        try {
            return closeOldest(ConnectionState.IDLE)
                    || closeOldest(ConnectionState.CLOSING)
                    || closeOldest(ConnectionState.READING_HEAD);
        } finally {
            makingRoom = false;
        }
    }

    private boolean closeOldest(ConnectionState state) {
        // Each look closes the eldest, or finds that another is the eldest now.
        for (int remainingChecks = size(); remainingChecks > 0; remainingChecks--) {
            StreamConnection oldest = oldestIn(state);
            if (oldest == null || closeUnlessRequestPending(oldest, CloseReason.NO_ROOM)) {
                return oldest != null;
            }
        }
        return false;
    }

    /** The one that has been in the phase for longest, null if none is in it. */
    private synchronized StreamConnection oldestIn(ConnectionState state) {
        for (Map.Entry<StreamConnection, TrackedState> entry : connections.entrySet()) {
            if (entry.getValue().is(state)) {
                return entry.getKey();
            }
        }
        return null;
    }

    /** Null if it is closed. */
    private synchronized TrackedState stateOf(StreamConnection connection) {
        return connections.get(connection);
    }

    /**
     * Closes a connection without a request, unless more of one has come and was not read yet: on a busy processor it
     * can lie there for half a second, and the client that wrote it is owed an answer. False if it has.
     */
    private boolean closeUnlessRequestPending(StreamConnection connection, CloseReason reason) {
        TrackedState before = stateOf(connection);
        if (before == null || before.is(ConnectionState.SERVING)) {
            return false;
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (connection.isOpen() && stateOf(connection) != before) {
            return false;
        }
        TrackedState current = stateOf(connection);
        Invariant.ANSWERED_BEFORE_CLOSE.check(
                current == null || !current.is(ConnectionState.SERVING), connection::toString, "closed for " + reason);
        remove(connection);
        Metrics.increment(Metric.CLIENT_CONNECTIONS_CLOSED, reason);
        IoUtils.safeClose(connection);
        return true;
    }

    private void closeIfIdleOrClosing(StreamConnection connection) {
        TrackedState current = stateOf(connection);
        if (current != null && (current.is(ConnectionState.IDLE) || current.is(ConnectionState.CLOSING))) {
            closeUnlessRequestPending(connection, CloseReason.PLANNED_END);
        }
    }

    /** From here on each connection closes with its answer. */
    public void beginGracefulShutdown() {
        draining = true;
    }

    /**
     * Closes those that are idle or closing; how many are left, reading a head or serving. To be called on the thread
     * that reads them.
     */
    public int closeIdleConnections() {
        List<StreamConnection> snapshot;
        synchronized (this) {
            snapshot = new ArrayList<>(connections.keySet());
        }
        snapshot.forEach(this::closeIfIdleOrClosing);
        return size();
    }

    private synchronized int size() {
        return connections.size();
    }
}
