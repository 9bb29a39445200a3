package fawnlb.backend;

import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The connections to one backend that carry no request, the longest idle first. They belong to the backend's actor. */
final class IdleConnections {
    /**
     * A connection is retired at this part of the time after which the backend itself may close it: a request written
     * to one that is just being closed would count as a reset.
     */
    private static final double RETIREMENT_FRACTION = 0.85;

    private final Deque<IdleConnection> idle = new ArrayDeque<>();
    private final long minRestNanos;
    private final long retireAfterNanos;
    private final Timers timers;
    private final Runnable onClosed;

    private record IdleConnection(HttpClientConnection connection, long idleSinceNanos) {}

    /**
     * None so far.
     *
     * @param minRestNanos how long a connection rests before it is used again, in nanoseconds
     * @param backendIdleTimeoutNanos after how long the backend may close an idle one, in nanoseconds
     * @param onClosed told of each that was closed here
     */
    IdleConnections(long minRestNanos, long backendIdleTimeoutNanos, Timers timers, Runnable onClosed) {
        this.minRestNanos = minRestNanos;
        this.retireAfterNanos = (long) (backendIdleTimeoutNanos * RETIREMENT_FRACTION);
        this.timers = timers;
        this.onClosed = onClosed;
    }

    /** How long one is kept, in nanoseconds. */
    long retireAfterNanos() {
        return retireAfterNanos;
    }

    void add(HttpClientConnection connection) {
        idle.addLast(new IdleConnection(connection, timers.now()));
    }

    /** The usable connection that has rested for the shortest time, and long enough; null if there is none. */
    HttpClientConnection take() {
        closeExpired();
        Iterator<IdleConnection> newestFirst = idle.descendingIterator();
        while (newestFirst.hasNext()) {
            IdleConnection candidate = newestFirst.next();
            if (timers.now() - candidate.idleSinceNanos() < minRestNanos) {
                continue;
            }
            newestFirst.remove();
            if (candidate.connection().isUsable()) {
                return candidate.connection();
            }
            onClosed.run();
        }
        return null;
    }

    /** Closes those that have been idle for too long, or that have closed. */
    void closeExpired() {
        while (!idle.isEmpty()
                && (!idle.peek().connection().isOpen()
                        || timers.now() - idle.peek().idleSinceNanos() >= retireAfterNanos)) {
            closeOldest();
        }
    }

    boolean isEmpty() {
        return idle.isEmpty();
    }

    /** Since when the eldest has been idle; there must be one. */
    long oldestIdleSinceNanos() {
        return idle.peek().idleSinceNanos();
    }

    void closeOldest() {
        idle.poll().connection().close();
        onClosed.run();
    }

    void closeAll() {
        while (!idle.isEmpty()) {
            closeOldest();
        }
    }
}
