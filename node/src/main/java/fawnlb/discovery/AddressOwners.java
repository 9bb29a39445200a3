package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.eventloop.EventLoopOnly;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which endpoint is behind an address. One process listens at an address at a time: when an endpoint that has started
 * later is listed at the address of another, that other one has gone, also where discovery does not say so yet. What is
 * sent to it would reach the new process.
 */
@EventLoopOnly
public final class AddressOwners {
    private final Map<String, DiscoveredEndpoint> ownersByAddress = new HashMap<>();
    private final Map<EndpointId, String> addressesById = new HashMap<>();

    /**
     * Returns a list in which the endpoints that have lost their address are gone; a complete list leaves them out.
     *
     * @param list the next list of discovery
     */
    public EndpointList resolve(EndpointList list) {
        if (list.complete()) {
            ownersByAddress.clear();
            addressesById.clear();
        }
        Map<EndpointId, DiscoveredEndpoint> resolved = new LinkedHashMap<>();
        list.endpoints().forEach(endpoint -> take(endpoint, resolved));
        List<DiscoveredEndpoint> endpoints = resolved.values().stream()
                .filter(endpoint -> !list.complete() || endpoint.phase() != EndpointPhase.GONE)
                .toList();
        return list.withEndpoints(endpoints);
    }

    /** Takes an entry over into what is resolved, and marks the endpoint that has lost its address by it. */
    private void take(DiscoveredEndpoint endpoint, Map<EndpointId, DiscoveredEndpoint> resolved) {
        release(endpoint.id());
        DiscoveredEndpoint owner =
                endpoint.phase() == EndpointPhase.GONE ? null : ownersByAddress.get(endpoint.hostAndPort());
        if (owner != null && owner.upSinceMillis() > endpoint.upSinceMillis()) {
            resolved.put(endpoint.id(), endpoint.withPhase(EndpointPhase.GONE));
            return;
        }
        if (owner != null && owner.upSinceMillis() < endpoint.upSinceMillis()) {
            release(owner.id());
            resolved.put(owner.id(), owner.withPhase(EndpointPhase.GONE));
        }
        resolved.put(endpoint.id(), endpoint);
        if (endpoint.phase() != EndpointPhase.GONE) {
            ownersByAddress.put(endpoint.hostAndPort(), endpoint);
            addressesById.put(endpoint.id(), endpoint.hostAndPort());
        }
    }

    /** The endpoint has no address any more, unless it is listed with one again. */
    private void release(EndpointId id) {
        String address = addressesById.remove(id);
        if (address != null && ownersByAddress.get(address).id().equals(id)) {
            ownersByAddress.remove(address);
        }
    }
}
