package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;

/**
 * An endpoint as discovery lists it.
 *
 * @param id its identity, by discovery's whole name for it
 * @param host a numeric address, an IPv6 one in brackets; empty for an endpoint that is gone
 * @param zone the name of its zone, empty if it is not known
 * @param kind what serves there; it decides which API is spoken
 * @param cell the group within the zone whose endpoints share their record of idempotency keys, or
 *     {@link fawnlb.decision.Endpoint#UNKNOWN}
 * @param size its capacity relative to others
 * @param upSinceMillis when it last started, in milliseconds on discovery's clock; 0 if long ago
 */
public record DiscoveredEndpoint(
        EndpointId id,
        String host,
        int port,
        String zone,
        String kind,
        int cell,
        EndpointPhase phase,
        double size,
        long upSinceMillis) {
    /** The same endpoint in another phase. */
    public DiscoveredEndpoint withPhase(EndpointPhase other) {
        return new DiscoveredEndpoint(id, host, port, zone, kind, cell, other, size, upSinceMillis);
    }

    /** The address as discovery writes it, {@code host:port}. */
    public String hostAndPort() {
        return host + ':' + port;
    }
}
