package fawnlb.client;

import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.xnio.StreamConnection;

/** The open client connections with their states, ordered by the time at which they entered their states. */
@ThreadSafe
final class ConnectionTable {
    /** What {@link #startServing} returns for a request that did not wait in the kernel's accept queue. */
    static final long NOT_QUEUED = -1;

    /**
     * The state of a connection.
     *
     * @param quota the share of the connections to which it counts
     * @param sinceNanos the time at which the connection entered the state
     */
    record Entry(ConnectionQuota quota, ConnectionState state, long sinceNanos) {
        boolean isIn(ConnectionState expected) {
            return state == expected;
        }
    }

    /** Iterates over the connections that have been in their states for longest first; those serving are unordered. */
    private final Map<StreamConnection, Entry> entries = new LinkedHashMap<>();
    /** How many connections each quota has. */
    private final Map<ConnectionQuota, Integer> sizes = new HashMap<>();
    /** Since when the first request of a connection may have waited in the kernel's accept queue. */
    private final Map<StreamConnection, Long> queuedSinceNanos = new HashMap<>();

    private final Timers timers;
    private final Consumer<ConnectionQuota> onRemoved;

    /**
     * Creates an empty table.
     *
     * @param onRemoved is called with the quota of each connection that has been removed
     */
    ConnectionTable(Timers timers, Consumer<ConnectionQuota> onRemoved) {
        this.timers = timers;
        this.onRemoved = onRemoved;
    }

    /**
     * Adds a connection as idle.
     *
     * @param quota the share of the connections to which it counts until it is removed
     * @param queuedNanos how long its first request may have waited in the kernel's accept queue
     */
    synchronized void add(StreamConnection connection, ConnectionQuota quota, long queuedNanos) {
        entries.put(connection, new Entry(quota, ConnectionState.IDLE, timers.now()));
        sizes.merge(quota, 1, Integer::sum);
        if (queuedNanos > 0) {
            queuedSinceNanos.put(connection, timers.now() - queuedNanos);
        }
    }

    /** Must be called when the first read of a connection is done. What comes later has not waited for the accept. */
    synchronized void onFirstReadDone(StreamConnection connection) {
        Entry entry = entries.get(connection);
        if (entry == null || entry.isIn(ConnectionState.IDLE)) {
            queuedSinceNanos.remove(connection);
        }
    }

    /** Puts a connection into a state, unless it has been removed. */
    synchronized void enterIfPresent(StreamConnection connection, ConnectionState state) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            enter(connection, entry, state);
        }
    }

    /** Must be called when bytes of a connection have been read. An idle one reads a head from now on. */
    synchronized void onBytesRead(StreamConnection connection) {
        Entry entry = entries.get(connection);
        if (entry != null && entry.isIn(ConnectionState.IDLE)) {
            enter(connection, entry, ConnectionState.READING_HEAD);
        }
    }

    /**
     * Puts a connection, if it is present, into the state {@link ConnectionState#SERVING}.
     *
     * @return how long the request may have waited before the accept, or {@link #NOT_QUEUED}
     */
    synchronized long startServing(StreamConnection connection) {
        entries.computeIfPresent(
                connection, (key, entry) -> new Entry(entry.quota(), ConnectionState.SERVING, timers.now()));
        Long sinceNanos = queuedSinceNanos.remove(connection);
        return sinceNanos == null ? NOT_QUEUED : timers.now() - sinceNanos;
    }

    /** Removes a connection, which may be absent already. */
    synchronized void remove(StreamConnection connection) {
        queuedSinceNanos.remove(connection);
        Entry removed = entries.remove(connection);
        if (removed != null) {
            sizes.merge(removed.quota(), -1, Integer::sum);
            onRemoved.accept(removed.quota());
        }
    }

    /** The connection of these quotas that has been in a state for longest, or null if none is in it. */
    synchronized StreamConnection oldestIn(ConnectionState state, Predicate<ConnectionQuota> quotas) {
        for (Map.Entry<StreamConnection, Entry> candidate : entries.entrySet()) {
            if (candidate.getValue().isIn(state)
                    && quotas.test(candidate.getValue().quota())) {
                return candidate.getKey();
            }
        }
        return null;
    }

    /** The state of a connection, or null if it is absent. */
    synchronized Entry get(StreamConnection connection) {
        return entries.get(connection);
    }

    /** Whether a part of a request's head has been read on a connection. */
    synchronized boolean isReadingHead(StreamConnection connection) {
        Entry entry = entries.get(connection);
        return entry != null && entry.isIn(ConnectionState.READING_HEAD);
    }

    /** Whether a connection is present and counts to one of these quotas. */
    synchronized boolean isOfQuota(StreamConnection connection, Predicate<ConnectionQuota> quotas) {
        Entry entry = entries.get(connection);
        return entry != null && quotas.test(entry.quota());
    }

    /** A copy of the present connections. */
    synchronized List<StreamConnection> connections() {
        return new ArrayList<>(entries.keySet());
    }

    synchronized int size() {
        return entries.size();
    }

    /** How many connections of a quota are open, with a request in progress or without one. */
    synchronized int size(ConnectionQuota quota) {
        return sizes.getOrDefault(quota, 0);
    }

    /** How many connections of a quota have no request in progress. */
    synchronized int sizeWithoutRequest(ConnectionQuota quota) {
        return (int) entries.values().stream()
                .filter(entry -> entry.quota() == quota && !entry.isIn(ConnectionState.SERVING))
                .count();
    }

    /** Moves the connection behind all others, so that those in one state stay ordered by time. */
    private void enter(StreamConnection connection, Entry before, ConnectionState state) {
        entries.remove(connection);
        entries.put(connection, new Entry(before.quota(), state, timers.now()));
    }
}
