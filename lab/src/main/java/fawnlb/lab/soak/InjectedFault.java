package fawnlb.lab.soak;

/** The faults of a soak. Each begins, lasts for a while and is removed. The order determines what a seed draws. */
enum InjectedFault {
    /** A node gets SIGTERM, has to end as it should, and starts again. */
    NODE_SHUTDOWN,
    /** A node gets SIGKILL and starts again. */
    NODE_KILL,
    /** A node gets SIGHUP. */
    NODE_RELOAD,
    /** A node's process is stopped for up to 0.15 s. */
    NODE_PAUSE,
    /** A node's wall clock steps by seconds or by an hour. */
    WALL_CLOCK_STEP,
    /** A node's accept calls fail. */
    ACCEPT_FAILURE,
    /** Some of a node's connect calls fail. */
    CONNECT_FAILURE,
    /** Some of a node's socket calls fail. */
    SOCKET_FAILURE,
    /** A node reads and writes a few bytes at a time. */
    SHORT_TRANSFERS,
    /** Some of a node's writes fail. */
    WRITE_FAILURE,
    /** Some of a node's reads fail. */
    READ_FAILURE,
    /** A backend's process ends and restarts. */
    BACKEND_CRASH,
    /** A backend can't be reached and restarts. */
    BACKEND_UNREACHABLE,
    /** A backend drains, is removed from discovery, and another one comes at its address. */
    BACKEND_REPLACEMENT,
    /** A backend becomes faster or slower for a while. */
    BACKEND_SLOWDOWN,
    /** A third of a backend's responses has a fault. */
    RESPONSE_CORRUPTION,
    /** The discovery service is down. */
    DISCOVERY_OUTAGE,
    /** Clients send a part of a request and wait. */
    PARTIAL_REQUESTS,
    /** Clients connect and send nothing. */
    IDLE_CONNECTIONS,
    /** More clients than a node has descriptors connect and send nothing. */
    IDLE_CROWD,
    /** Hundreds of clients stop half way through large bodies. */
    SLOW_SENDER_CROWD,
    /** Hundreds of clients request long answers and read nothing. */
    SLOW_READER_CROWD;

    /** Whether the fault is one of many clients at a time. */
    boolean isCrowd() {
        return this == IDLE_CROWD || this == SLOW_SENDER_CROWD || this == SLOW_READER_CROWD;
    }
}
