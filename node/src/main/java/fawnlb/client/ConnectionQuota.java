package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;

/**
 * What one listener may hold of the client connections. Listeners that share a {@link ConnectionLimit} take their
 * connections from the same descriptors, and each of them keeps a part that the others can't take.
 */
@EventLoopOnly
public final class ConnectionQuota {
    private final String listener;
    private final ConnectionLimit limit;
    private final int maxConnections;
    private final int guaranteedConnections;
    private final int maxOverLimit;
    /** How many connections were accepted since the I/O thread's last poll although all descriptors were in use. */
    private int acceptedOverLimit;

    /**
     * Creates a quota, which its limit must list.
     *
     * @param listener the listener's name in metrics
     * @param maxConnections how many connections may have requests that are served
     * @param guaranteedConnections for how many of them the other listeners leave room
     * @param maxOverLimit how many connections more may be open, to reject their requests
     */
    ConnectionQuota(
            String listener, ConnectionLimit limit, int maxConnections, int guaranteedConnections, int maxOverLimit) {
        this.listener = listener;
        this.limit = limit;
        this.maxConnections = maxConnections;
        this.guaranteedConnections = guaranteedConnections;
        this.maxOverLimit = maxOverLimit;
    }

    /** The listener's name in metrics. */
    public String listener() {
        return listener;
    }

    /** The limit of all listeners that share descriptors with this one. */
    ConnectionLimit limit() {
        return limit;
    }

    /** How many connections may have requests that are served. */
    int maxConnections() {
        return maxConnections;
    }

    /** For how many of them the other listeners leave room. */
    int guaranteedConnections() {
        return guaranteedConnections;
    }

    /** How many connections may be open, those included whose requests are rejected. */
    int maxOpenConnections() {
        return maxConnections + maxOverLimit;
    }

    /**
     * Whether the listener may accept one more connection before the next poll although all descriptors are in use. Its
     * part of those that are kept for it is its own: a flood on one listener would take all of them from the others.
     */
    boolean mayAcceptOverLimit() {
        return acceptedOverLimit < maxOverLimit;
    }

    /** Must be called when a connection was accepted although all descriptors were in use. */
    void onAcceptedOverLimit() {
        acceptedOverLimit++;
    }

    /** Must be called after a poll of the I/O thread. */
    void onPolled() {
        acceptedOverLimit = 0;
    }
}
