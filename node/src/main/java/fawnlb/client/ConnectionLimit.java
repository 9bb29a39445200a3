package fawnlb.client;

import fawnlb.eventloop.EventLoopOnly;
import java.util.List;

/** How many connections may be open for the listeners that share descriptors, and the quota of each of them. */
@EventLoopOnly
public final class ConnectionLimit {
    /** The part that one listener leaves to each other one: enough to go on serving a few clients. */
    private static final int GUARANTEED_SHARE_DIVISOR = 8;

    private final int maxConnections;
    private final int maxOverLimit;
    private final List<ConnectionQuota> quotas;
    /** Connections that were closed and whose descriptors are not free before the I/O thread's next poll. */
    private int closingDescriptors;

    /**
     * Divides connections among listeners.
     *
     * @param maxConnections how many connections may have requests that are served
     * @param maxOverLimit how many connections more may be open, to reject their requests
     * @param listeners the names of the listeners in metrics
     */
    ConnectionLimit(int maxConnections, int maxOverLimit, List<String> listeners) {
        this.maxConnections = maxConnections;
        this.maxOverLimit = maxOverLimit;
        int others = listeners.size() - 1;
        int guaranteed = others == 0 ? maxConnections : maxConnections / GUARANTEED_SHARE_DIVISOR;
        int maxOfOne = others == 0 ? maxConnections : maxConnections - others * guaranteed;
        this.quotas = listeners.stream()
                .map(name -> new ConnectionQuota(name, this, maxOfOne, guaranteed, maxOverLimit / listeners.size()))
                .toList();
    }

    /** The quotas in the order of the listeners' names. */
    public List<ConnectionQuota> quotas() {
        return quotas;
    }

    /** How many connections may have requests that are served. */
    int maxConnections() {
        return maxConnections;
    }

    /** How many descriptors there are for connections, those included whose requests are rejected. */
    int maxDescriptors() {
        return maxConnections + maxOverLimit;
    }

    /** How many descriptors of closed connections are not free yet. */
    int closingDescriptors() {
        return closingDescriptors;
    }

    /** Must be called when a connection was closed. */
    void onConnectionClosed() {
        closingDescriptors++;
    }

    /** Must be called after a poll of the I/O thread, which frees the descriptors of closed connections. */
    void onPolled() {
        closingDescriptors = 0;
        quotas.forEach(ConnectionQuota::onPolled);
    }
}
