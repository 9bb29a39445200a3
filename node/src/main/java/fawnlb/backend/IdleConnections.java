package fawnlb.backend;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.http.HttpClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The connections to one backend that carry no request, the longest idle first. Belongs to the backend's actor. */
@EventLoopOnly
final class IdleConnections {
    /**
     * A connection is closed after this fraction of the backend's own idle timeout: a request that is written while the
     * backend closes the connection would count as a reset. The rest of the timeout covers late timers.
     */
    private static final double RETIREMENT_FRACTION = 0.85;

    private final Deque<IdleConnection> idle = new ArrayDeque<>();
    private final long minRestNanos;
    private final long retireAfterNanos;
    private final Timers timers;
    private final Runnable onClosed;

    private record IdleConnection(HttpClientConnection connection, long idleSinceNanos) {}

    /**
     * Starts without connections.
     *
     * @param minRestNanos how long a connection rests before it is used again
     * @param backendIdleTimeoutNanos after how long the backend may close an idle connection
     * @param onClosed called for each connection that is closed here
     */
    IdleConnections(long minRestNanos, long backendIdleTimeoutNanos, Timers timers, Runnable onClosed) {
        this.minRestNanos = minRestNanos;
        this.retireAfterNanos = (long) (backendIdleTimeoutNanos * RETIREMENT_FRACTION);
        this.timers = timers;
        this.onClosed = onClosed;
    }

    /** Returns how long a connection is kept idle. */
    long retireAfterNanos() {
        return retireAfterNanos;
    }

    /** Adds an open connection whose response has been read. */
    void add(HttpClientConnection connection) {
        idle.addLast(new IdleConnection(connection, timers.now()));
    }

    /**
     * Removes and returns the usable connection that became idle last and has rested for long enough, null if there is
     * none. The latest is the least likely to be closed by the backend; the others expire.
     */
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

    /** Drops connections that the backend has closed, and closes those that have been idle for too long. */
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

    /** Returns since when the oldest connection has been idle; there must be one. */
    long oldestIdleSinceNanos() {
        return idle.peek().idleSinceNanos();
    }

    /** Closes the connection that has been idle for longest; there must be one. */
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
