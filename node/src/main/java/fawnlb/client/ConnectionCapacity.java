package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.metrics.Metric;
import fawnlb.metrics.Metrics;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides for all listeners whether a connection may be accepted, and whether a request on it is served. It is the only
 * owner of these limits: a listener asks it before each accept, and while a connection without a request is open, that
 * one is closed rather than a new client kept waiting.
 */
@EventLoopOnly
final class ConnectionCapacity {
    private final ConnectionTable connections;
    private final RoomMaker roomMaker;
    private final Timers timers;
    private List<Runnable> waitingListeners = new ArrayList<>();
    /** The limits whose counts since the last poll end with the next one. */
    private final Set<ConnectionLimit> awaitingPoll = new HashSet<>();

    /** Closes connections without a request. */
    @FunctionalInterface
    interface RoomMaker {
        /** Closes one connection of these quotas, and returns whether there was one. */
        boolean tryMakeRoom(Predicate<ConnectionQuota> quotas);
    }

    ConnectionCapacity(ConnectionTable connections, RoomMaker roomMaker, Timers timers) {
        this.connections = connections;
        this.roomMaker = roomMaker;
        this.timers = timers;
    }

    /** Publishes what the listeners of a limit hold. */
    void publish(ConnectionLimit limit) {
        for (ConnectionQuota quota : limit.quotas()) {
            String listener = quota.listener();
            Metrics.registerGauge(Metric.CLIENT_CONNECTIONS, listener, () -> connections.size(quota));
            Metrics.registerGauge(
                    Metric.CLIENT_CONNECTIONS_WITHOUT_REQUEST, listener, () -> connections.sizeWithoutRequest(quota));
            Metrics.registerGauge(Metric.CLIENT_CONNECTIONS_LIMIT, listener, quota::maxConnections);
        }
    }

    /**
     * Returns whether a listener may accept one more connection. Where no descriptor is left for it, a connection
     * without a request is closed, whose descriptor is free after the next poll.
     */
    boolean hasRoom(ConnectionQuota quota) {
        if (!hasDescriptor(quota)) {
            tryMakeRoom(quota);
        }
        return hasDescriptor(quota);
    }

    private boolean hasDescriptor(ConnectionQuota quota) {
        ConnectionLimit limit = quota.limit();
        int usedDescriptors = usedDescriptors(limit);
        return connections.size(quota) < quota.maxOpenConnections()
                && (usedDescriptors < limit.maxConnections()
                        || usedDescriptors < limit.maxDescriptors() && quota.mayAcceptOverLimit());
    }

    private int usedDescriptors(ConnectionLimit limit) {
        return size(limit) + limit.closingDescriptors();
    }

    /**
     * Must be called before an accepted connection is added. At the limit of its listener or of all, a connection
     * without a request is closed for it. If all connections have requests, a few more are opened to have theirs
     * rejected, because a request that waits in the accept queue gets no answer at all.
     */
    void makeRoomForAccepted(ConnectionQuota quota) {
        ConnectionLimit limit = quota.limit();
        if (usedDescriptors(limit) >= limit.maxConnections()) {
            quota.onAcceptedOverLimit();
            schedulePolled(limit);
        }
        if (isQuotaFull(quota) || size(limit) >= limit.maxConnections()) {
            tryMakeRoom(quota);
        }
    }

    /** Returns whether a request on an open connection can be served, if need be in the place of an idle connection. */
    boolean tryAdmit(ConnectionQuota quota) {
        int size = connections.size(quota);
        boolean isWithinLimit = size <= quota.guaranteedConnections()
                || size(quota.limit()) <= quota.limit().maxConnections();
        return size <= quota.maxConnections() && isWithinLimit || tryMakeRoom(quota);
    }

    private boolean isQuotaFull(ConnectionQuota quota) {
        return connections.size(quota) >= quota.maxConnections();
    }

    /** A listener at its own limit makes room among its own connections. */
    private boolean tryMakeRoom(ConnectionQuota quota) {
        return roomMaker.tryMakeRoom(
                isQuotaFull(quota) ? other -> other == quota : other -> other.limit() == quota.limit());
    }

    private int size(ConnectionLimit limit) {
        return limit.quotas().stream().mapToInt(connections::size).sum();
    }

    /** Runs a task once when there may be room for a connection. */
    void whenRoom(Runnable task) {
        waitingListeners.add(task);
    }

    /** Must be called when a connection has no request in progress any more: it may be closed for another one. */
    void onRequestEnded() {
        notifyWaitingListeners();
    }

    private void notifyWaitingListeners() {
        List<Runnable> waiting = waitingListeners;
        waitingListeners = new ArrayList<>();
        waiting.forEach(Runnable::run);
    }

    /** Must be called when a connection was closed. Its descriptor is free after the next poll. */
    void onConnectionClosed(ConnectionQuota quota) {
        quota.limit().onConnectionClosed();
        schedulePolled(quota.limit());
    }

    private void schedulePolled(ConnectionLimit limit) {
        if (awaitingPoll.add(limit)) {
            timers.schedule(Listener.NEXT_POLL_NANOS, () -> {
                awaitingPoll.remove(limit);
                limit.onPolled();
                notifyWaitingListeners();
            });
        }
    }
}
