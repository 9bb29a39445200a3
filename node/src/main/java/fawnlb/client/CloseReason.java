package fawnlb.client;

/** Why the load balancer closes a client connection by its own decision. */
enum CloseReason {
    /** The connection was idle for too long. */
    IDLE_TIMEOUT("idle_limit"),
    /** A request's head began and did not end in time. */
    REQUEST_HEAD_TIMEOUT("head_limit"),
    /** The client did not close the connection in time after the last response. */
    CLOSING_TIMEOUT("closing_limit"),
    /** The connection was closed without a pending request to make room for another connection. */
    CONNECTION_LIMIT("no_room"),
    /** The connection's incomplete head was closed to make room in memory. */
    MEMORY_LIMIT("no_memory"),
    /** The connection had no pending request when the process was shut down. */
    GRACEFUL_SHUTDOWN("planned_end");

    private final String label;

    CloseReason(String label) {
        this.label = label;
    }

    /** The reason's name in metrics. It is an external name and must not change. */
    String label() {
        return label;
    }
}
