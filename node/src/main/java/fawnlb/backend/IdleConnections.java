package fawnlb.backend;

import fawnlb.actor.Timers;
import fawnlb.http.Connection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The connections to one backend that carry no request, the longest idle first. They belong to the backend's actor. */
final class IdleConnections {
    /**
     * A connection is retired at this part of the time after which the backend itself may close it: a request written
     * to one that is just being closed would count as a reset.
     */
    private static final double RETIRE = 0.85;

    private final Deque<Idle> idle = new ArrayDeque<>();
    private final long rest;
    private final long limit;
    private final Timers timers;
    private final Runnable closed;

    private record Idle(Connection connection, long since) {}

    /**
     * None so far.
     *
     * @param rest how long a connection rests before it is used again, in nanoseconds
     * @param closedByBackend after how long the backend may close an idle one, in nanoseconds
     * @param closed told of each that was closed here
     */
    IdleConnections(long rest, long closedByBackend, Timers timers, Runnable closed) {
        this.rest = rest;
        this.limit = (long) (closedByBackend * RETIRE);
        this.timers = timers;
        this.closed = closed;
    }

    /** How long one is kept, in nanoseconds. */
    long limit() {
        return limit;
    }

    void add(Connection connection) {
        idle.addLast(new Idle(connection, timers.now()));
    }

    /** The usable connection that has rested for the shortest time, and long enough; null if there is none. */
    Connection take() {
        retire();
        Iterator<Idle> latestFirst = idle.descendingIterator();
        while (latestFirst.hasNext()) {
            Idle candidate = latestFirst.next();
            if (timers.now() - candidate.since() < rest) {
                continue;
            }
            latestFirst.remove();
            if (candidate.connection().isUsable()) {
                return candidate.connection();
            }
            closed.run();
        }
        return null;
    }

    /** Closes those that have been idle for too long, or that have closed. */
    void retire() {
        while (!idle.isEmpty()
                && (!idle.peek().connection().isOpen()
                        || timers.now() - idle.peek().since() >= limit)) {
            closeEldest();
        }
    }

    boolean isEmpty() {
        return idle.isEmpty();
    }

    /** Since when the eldest has been idle; there must be one. */
    long eldestSince() {
        return idle.peek().since();
    }

    void closeEldest() {
        idle.poll().connection().close();
        closed.run();
    }

    void closeAll() {
        while (!idle.isEmpty()) {
            closeEldest();
        }
    }
}
