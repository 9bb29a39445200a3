package fawnlb.server;

/**
 * Divides the file descriptors of the process among connections to backends, connections of clients, and the rest.
 *
 * @param maxDescriptors how many descriptors the process may have open
 */
record DescriptorBudget(int maxDescriptors) {
    /** How many connections of operators the admin listener accepts at a time. */
    static final int MAX_ADMIN_CONNECTIONS = 4;

    /**
     * Descriptors that neither clients nor backends get: 22 of the process (jars, selectors, log), 6 of listeners,
     * syslog and snapshot, 4 of discovery and a configuration file that is read again, 12 connections over the limit
     * that are accepted only to be rejected, and 4 of operators.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /**
     * How many connections to backends may be open. Each request has one attempt out, and the requests of all clients
     * need a third of the descriptors at most.
     */
    int maxBackendConnections() {
        return maxDescriptors / 3;
    }

    /** How many connections of clients may be open. Clients also keep connections that carry no request. */
    int maxClientConnections() {
        return maxDescriptors - maxBackendConnections() - RESERVED_DESCRIPTORS;
    }
}
