package fawnlb.discovery;

import fawnlb.decision.EndpointPhase;

/**
 * An endpoint as discovery lists it.
 *
 * @param id discovery's name for it
 * @param host a numeric address, an IPv6 one in brackets; empty for an endpoint that is gone
 * @param zone the name of its zone, empty if it is not known
 * @param kind what serves there; it decides which API is spoken
 * @param cell the group within the zone whose endpoints share their record of idempotency keys, or
 *     {@link fawnlb.decision.Endpoint#UNKNOWN}
 * @param size its capacity relative to others
 * @param upSinceMillis when it last started, in milliseconds on discovery's clock; 0 if long ago
 */
public record DiscoveredEndpoint(
        String id,
        String host,
        int port,
        String zone,
        String kind,
        int cell,
        EndpointPhase phase,
        double size,
        long upSinceMillis) {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int HEX_RADIX = 16;

    /**
     * A number from 0 up that is the same at every instance: it decides the endpoint's place on the hash ring. It is
     * the eight hexadecimal digits after the last dash of the identifier, or else the identifier's FNV-1a hash.
     */
    public long numericId() {
        String suffix = id.substring(id.lastIndexOf('-') + 1);
        if (suffix.matches("[0-9a-f]{8}")) {
            return Long.parseLong(suffix, HEX_RADIX);
        }
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash >>> 1;
    }
}
