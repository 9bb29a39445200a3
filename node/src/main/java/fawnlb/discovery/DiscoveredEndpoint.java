package fawnlb.discovery;

import fawnlb.decision.EndpointPhase;

/** A backend as discovery lists it. */
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

    /** The same number at every node: a backend's place on the ring comes from it. */
    public long numericId() {
        int dash = id.lastIndexOf('-');
        if (id.substring(dash + 1).matches("[0-9a-f]{8}")) {
            return Long.parseLong(id.substring(dash + 1), 16);
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return hash >>> 1;
    }
}
