package fawnlb.decision;

/**
 * A replica as listed. {@code startedAt}: when it last started, 0 if long ago; {@code capacity}: how many of this
 * router's requests may await their first token there, {@link #UNLIMITED_CAPACITY} where nothing limits them.
 */
public record Endpoint(
        long id, EndpointPhase phase, long startedAt, double size, int zone, int cell, int kind, int capacity) {
    public static final int UNLIMITED_CAPACITY = Integer.MAX_VALUE;

    /** A replica as discovery lists it. */
    public Endpoint(long id, EndpointPhase phase, long readyAt, double size, int zone, int cell, int kind) {
        this(id, phase, readyAt, size, zone, cell, kind, UNLIMITED_CAPACITY);
    }

    public Endpoint withCapacity(int capacity) {
        return new Endpoint(id, phase, startedAt, size, zone, cell, kind, capacity);
    }

    public Endpoint asGone() {
        return new Endpoint(id, EndpointPhase.GONE, startedAt, size, zone, cell, kind, capacity);
    }
}
