package fawnlb.client;

import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.StreamConnection;

/** The open client connections with their states, ordered by the time at which they entered their states. */
@ThreadSafe
final class ConnectionTable {
    /** What {@link #startServing} returns for a request that did not wait in the kernel's accept queue. */
    static final long NOT_QUEUED = -1;

    /**
     * The state of a connection.
     *
     * @param sinceNanos the time at which the connection entered the state
     */
    record Entry(ConnectionState state, long sinceNanos) {
        boolean isIn(ConnectionState expected) {
            return state == expected;
        }
    }

    /** Iterates over the connections that have been in their states for longest first; those serving are unordered. */
    private final Map<StreamConnection, Entry> entries = new LinkedHashMap<>();
    /** Since when the first request of a connection may have waited in the kernel's accept queue. */
    private final Map<StreamConnection, Long> queuedSinceNanos = new HashMap<>();

    private final Timers timers;

    ConnectionTable(Timers timers) {
        this.timers = timers;
    }

    /**
     * Adds a connection as idle.
     *
     * @param queuedNanos how long its first request may have waited in the kernel's accept queue
     */
    synchronized void add(StreamConnection connection, long queuedNanos) {
        enter(connection, ConnectionState.IDLE);
        if (queuedNanos > 0) {
            queuedSinceNanos.put(connection, timers.now() - queuedNanos);
        }
    }

    /** Puts a connection into a state, unless it has been removed. */
    synchronized void enterIfPresent(StreamConnection connection, ConnectionState state) {
        if (entries.containsKey(connection)) {
            enter(connection, state);
        }
    }

    /** Must be called when bytes of a connection have been read. An idle one reads a head from now on. */
    synchronized void onBytesRead(StreamConnection connection) {
        Entry entry = entries.get(connection);
        if (entry != null && entry.isIn(ConnectionState.IDLE)) {
            enter(connection, ConnectionState.READING_HEAD);
        }
    }

    /**
     * Puts a connection, if it is present, into the state {@link ConnectionState#SERVING}.
     *
     * @return how long the request may have waited before the accept, or {@link #NOT_QUEUED}
     */
    synchronized long startServing(StreamConnection connection) {
        entries.replace(connection, new Entry(ConnectionState.SERVING, timers.now()));
        Long sinceNanos = queuedSinceNanos.remove(connection);
        return sinceNanos == null ? NOT_QUEUED : timers.now() - sinceNanos;
    }

    /** Removes a connection, which may be absent already. */
    synchronized void remove(StreamConnection connection) {
        entries.remove(connection);
        queuedSinceNanos.remove(connection);
    }

    /** The connection that has been in a state for longest, or null if none is in it. */
    synchronized StreamConnection oldestIn(ConnectionState state) {
        for (Map.Entry<StreamConnection, Entry> candidate : entries.entrySet()) {
            if (candidate.getValue().isIn(state)) {
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

    /** A copy of the present connections. */
    synchronized List<StreamConnection> connections() {
        return new ArrayList<>(entries.keySet());
    }

    synchronized int size() {
        return entries.size();
    }

    /** Moves the connection behind all others, so that those in one state stay ordered by time. */
    private void enter(StreamConnection connection, ConnectionState state) {
        entries.remove(connection);
        entries.put(connection, new Entry(state, timers.now()));
    }
}
