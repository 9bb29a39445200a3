package fawnlb.decision;

/**
 * A server as the endpoint list names it.
 *
 * @param id identifies the endpoint, also after a restart
 * @param startedAt when it last started, on the host's clock; 0 if long ago
 * @param size its size as listed; no decision depends on it
 * @param zone the number of its zone, see {@link LoadBalancerSettings.Names#zones}; a zone that the settings don't name
 *     has a number of its own above these, and {@link #UNKNOWN} is none that another endpoint has
 * @param cell the number of its cell within the zone; {@link #UNKNOWN} is none that another endpoint has
 * @param kind the number of its kind of hardware, see {@link LoadBalancerSettings.Names#kinds}; one that the settings
 *     don't name has a number of its own above these, and {@link #UNKNOWN} stands for any other
 * @param capacity how many requests of this instance may await their first token there at a time, or
 *     {@link #UNLIMITED_CAPACITY}
 */
public record Endpoint(
        EndpointId id, EndpointPhase phase, long startedAt, double size, int zone, int cell, int kind, int capacity) {
    /** The zone, cell or kind of an endpoint of which it is not known. */
    public static final int UNKNOWN = -1;
    /** The capacity of an endpoint that nothing limits. */
    public static final int UNLIMITED_CAPACITY = Integer.MAX_VALUE;

    /** An endpoint without a limit of its capacity, as discovery lists it. */
    public Endpoint(EndpointId id, EndpointPhase phase, long startedAt, double size, int zone, int cell, int kind) {
        this(id, phase, startedAt, size, zone, cell, kind, UNLIMITED_CAPACITY);
    }

    /** The same endpoint with another capacity. */
    public Endpoint withCapacity(int capacity) {
        return new Endpoint(id, phase, startedAt, size, zone, cell, kind, capacity);
    }

    /** The same endpoint as an entry of an update that removes it. */
    public Endpoint asGone() {
        return new Endpoint(id, EndpointPhase.GONE, startedAt, size, zone, cell, kind, capacity);
    }
}
