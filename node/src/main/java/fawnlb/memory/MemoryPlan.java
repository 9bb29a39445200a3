package fawnlb.memory;

/**
 * How the heap is divided. What connections need is set aside for as many as may be open; the rest is the capacity of a
 * {@link MemoryBudget}.
 *
 * @param maxClientConnections how many client connections may be open
 * @param maxBackendConnections how many connections to backends may be open
 * @param maxEndpoints how many endpoints the endpoint list may have
 * @param capacityBytes what may be held for requests, responses and endpoints
 * @param responseBytes the part of the capacity that is kept for responses
 */
public record MemoryPlan(
        int maxClientConnections, int maxBackendConnections, int maxEndpoints, long capacityBytes, long responseBytes) {
    /** What an endpoint holds: mostly its 200 points on the hash ring. */
    public static final long ENDPOINT_BYTES = 3200;

    /** The rest of the heap is for garbage that has not been collected, and for what one event allocates. */
    private static final double REACHABLE_SHARE_OF_HEAP = 0.7;
    /** What the process holds without clients, backends and endpoints. */
    private static final long PROCESS_BYTES = 6 << 20;
    /** An idle connection of a client, with what the HTTP parser keeps between two requests. */
    private static final long CLIENT_CONNECTION_BYTES = 4 << 10;

    private static final long BACKEND_CONNECTION_BYTES = 4 << 10;
    /** What one read of a connection to a backend brings, and the head of its response. */
    private static final long RESPONSE_BYTES = 20 << 10;

    private static final double MAX_SHARE_OF_CLIENT_CONNECTIONS = 0.18;
    private static final double MAX_SHARE_OF_BACKEND_CONNECTIONS = 0.33;
    private static final double MAX_SHARE_OF_ENDPOINTS = 0.8;

    /**
     * Divides a heap. There are fewer connections than descriptors where the heap is too small for them.
     *
     * @param heapBytes the largest size of the heap
     * @param clientDescriptors the descriptors for connections of clients
     * @param backendDescriptors the descriptors for connections to backends
     */
    public static MemoryPlan divide(long heapBytes, int clientDescriptors, int backendDescriptors) {
        long usableBytes = Math.max(0, (long) (heapBytes * REACHABLE_SHARE_OF_HEAP) - PROCESS_BYTES);
        int clients = limit(clientDescriptors, usableBytes * MAX_SHARE_OF_CLIENT_CONNECTIONS, CLIENT_CONNECTION_BYTES);
        int backends = limit(
                backendDescriptors,
                usableBytes * MAX_SHARE_OF_BACKEND_CONNECTIONS,
                BACKEND_CONNECTION_BYTES + RESPONSE_BYTES);
        long capacityBytes = usableBytes - clients * CLIENT_CONNECTION_BYTES - backends * BACKEND_CONNECTION_BYTES;
        long responseBytes = backends * RESPONSE_BYTES;
        int endpoints =
                limit(Integer.MAX_VALUE, (capacityBytes - responseBytes) * MAX_SHARE_OF_ENDPOINTS, ENDPOINT_BYTES);
        return new MemoryPlan(clients, backends, endpoints, capacityBytes, responseBytes);
    }

    private static int limit(int wanted, double bytes, long bytesEach) {
        return (int) Math.max(1, Math.min(wanted, (long) bytes / bytesEach));
    }
}
