package fawnlb.client;

import fawnlb.client.ClientConnectionTracker.Limits;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Invariant;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.util.function.Predicate;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Closes client connections that carry no request: at their timeouts, to make room for others, and at a graceful
 * shutdown.
 *
 * <p>A connection is read once more before it is closed. On a busy processor a request can lie unread for half a
 * second, and the client that sent it must get a response.
 */
@EventLoopOnly
final class ConnectionCloser {
    /** A check costs a pass over all connections, so it runs at most 50 times a second. */
    private static final long MIN_CHECK_INTERVAL_NANOS = 20_000_000;
    /** A head may begin right after a check, whose next check must not come much later than the head's timeout. */
    private static final long MAX_CHECK_INTERVAL_NANOS = 250_000_000;
    /** Clients send a head in one piece; one that is incomplete for longer may be closed for want of memory. */
    private static final long MIN_PARTIAL_HEAD_NANOS = 250_000_000;

    /** A client that connected or began a head less than this ago is probably about to send the rest. */
    private static final long NEW_CLIENT_NANOS = 50_000_000;

    private static final Predicate<ConnectionQuota> ANY_QUOTA = quota -> true;

    private final ConnectionTable connections;
    private final Limits limits;
    private final Timers timers;
    private final SlowBodies slowBodies;
    private boolean makingRoom;

    ConnectionCloser(ConnectionTable connections, Limits limits, Timers timers, SlowBodies slowBodies) {
        this.connections = connections;
        this.limits = limits;
        this.timers = timers;
        this.slowBodies = slowBodies;
    }

    /**
     * Starts to close connections at their timeouts. Undertow's own timeouts are not used: they would close a
     * connection whose request lies unread on a busy processor, and they depend on the wall clock.
     */
    void start() {
        timers.schedule(limits.idleTimeoutNanos(), this::checkTimeouts);
    }

    private void checkTimeouts() {
        long headNanos = closeExpired(
                ConnectionState.READING_HEAD, limits.requestHeadTimeoutNanos(), CloseReason.REQUEST_HEAD_TIMEOUT);
        long idleNanos = closeExpired(ConnectionState.IDLE, limits.idleTimeoutNanos(), CloseReason.IDLE_TIMEOUT);
        long closingNanos =
                closeExpired(ConnectionState.CLOSING, limits.idleTimeoutNanos(), CloseReason.CLOSING_TIMEOUT);
        long nextNanos = Math.min(headNanos, Math.min(idleNanos, closingNanos));
        long intervalNanos = Math.max(MIN_CHECK_INTERVAL_NANOS, Math.min(MAX_CHECK_INTERVAL_NANOS, nextNanos));
        timers.schedule(intervalNanos, this::checkTimeouts);
    }

    /** Closes the connections whose timeout in a state has passed, and returns when the next one will pass. */
    private long closeExpired(ConnectionState state, long timeoutNanos, CloseReason reason) {
        long nowNanos = timers.now();
        StreamConnection oldest = connections.oldestIn(state, ANY_QUOTA);
        while (oldest != null && nowNanos - connections.get(oldest).sinceNanos() >= timeoutNanos) {
            closeUnlessRequestPending(oldest, reason);
            oldest = connections.oldestIn(state, ANY_QUOTA);
        }
        return oldest == null ? timeoutNanos : connections.get(oldest).sinceNanos() + timeoutNanos - nowNanos;
    }

    /**
     * Closes one connection of these quotas that carries no request, preferably an idle one that is not new. Returns
     * false if there is none. Also returns false if it is called for a request that this method has just found while it
     * read a connection: one pass over the connections is enough.
     */
    boolean tryMakeRoom(Predicate<ConnectionQuota> quotas) {
        if (makingRoom) {
            return false;
        }
        makingRoom = true;
        try {
            return closeOldest(ConnectionState.IDLE, quotas, NEW_CLIENT_NANOS)
                    || closeOldest(ConnectionState.CLOSING, quotas, 0)
                    || closeOldest(ConnectionState.READING_HEAD, quotas, NEW_CLIENT_NANOS)
                    || closeOldest(ConnectionState.IDLE, quotas, 0)
                    || closeOldest(ConnectionState.READING_HEAD, quotas, 0)
                    || rejectSlowestBody(quotas) && closeOldest(ConnectionState.CLOSING, quotas, 0);
        } finally {
            makingRoom = false;
        }
    }

    private boolean rejectSlowestBody(Predicate<ConnectionQuota> quotas) {
        return slowBodies.rejectSlowest(connection -> connections.isOfQuota(connection, quotas));
    }

    private boolean closeOldest(ConnectionState state, Predicate<ConnectionQuota> quotas, long minNanos) {
        return closeOldest(state, quotas, minNanos, CloseReason.CONNECTION_LIMIT);
    }

    /** Closes the oldest connection in a state that has been in it for a time, and returns whether there was one. */
    private boolean closeOldest(
            ConnectionState state, Predicate<ConnectionQuota> quotas, long minNanos, CloseReason reason) {
        // Each pass closes the oldest connection, or finds that it has a request and another is the oldest now.
        for (int remainingChecks = connections.size(); remainingChecks > 0; remainingChecks--) {
            StreamConnection oldest = connections.oldestIn(state, quotas);
            if (oldest == null || timers.now() - connections.get(oldest).sinceNanos() < minNanos) {
                return false;
            }
            if (closeUnlessRequestPending(oldest, reason)) {
                return true;
            }
        }
        return false;
    }

    /** Closes the connection whose head has been incomplete for longest, and returns whether there was one. */
    boolean closeOldestPartialHead() {
        return closeOldest(ConnectionState.READING_HEAD, ANY_QUOTA, MIN_PARTIAL_HEAD_NANOS, CloseReason.MEMORY_LIMIT);
    }

    /** Closes a connection whose incomplete head has no room in memory, unless its request is complete now. */
    void closeForMemory(StreamConnection connection) {
        closeUnlessRequestPending(connection, CloseReason.MEMORY_LIMIT);
    }

    /**
     * Closes the connections that are idle or closing, and returns how many are left with a request or a part of one.
     */
    int closeAllWithoutRequest() {
        connections.connections().forEach(this::closeIfIdleOrClosing);
        return connections.size();
    }

    private void closeIfIdleOrClosing(StreamConnection connection) {
        ConnectionTable.Entry entry = connections.get(connection);
        if (entry != null && (entry.isIn(ConnectionState.IDLE) || entry.isIn(ConnectionState.CLOSING))) {
            closeUnlessRequestPending(connection, CloseReason.GRACEFUL_SHUTDOWN);
        }
    }

    /** Reads a connection once more, and closes it if that brought nothing. Returns whether it is closed. */
    @SuppressWarnings("ReferenceEquality") // An entry that was replaced by an equal one says that something was read.
    private boolean closeUnlessRequestPending(StreamConnection connection, CloseReason reason) {
        ConnectionTable.Entry before = connections.get(connection);
        if (before == null || before.isIn(ConnectionState.SERVING)) {
            return false;
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (connection.isOpen() && connections.get(connection) != before) {
            return false;
        }
        close(connection, reason);
        return true;
    }

    private void close(StreamConnection connection, CloseReason reason) {
        ConnectionTable.Entry entry = connections.get(connection);
        Invariant.ANSWERED_BEFORE_CLOSE.check(
                entry == null || !entry.isIn(ConnectionState.SERVING),
                connection::toString,
                "closed for " + reason.label());
        connections.remove(connection);
        Metrics.increment(Metric.CLIENT_CONNECTIONS_CLOSED, reason.label());
        IoUtils.safeClose(connection);
    }
}
