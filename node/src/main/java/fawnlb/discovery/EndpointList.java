package fawnlb.discovery;

import fawnlb.decision.EndpointId;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A list of endpoints from discovery.
 *
 * @param revision discovery's count of changes, as of this list
 * @param complete whether the endpoint list names all endpoints; otherwise it names those that have changed
 * @param endpoints the endpoints; one that has left is named with the phase GONE
 * @param invalidEntries the entries that can't be read
 */
public record EndpointList(
        long revision, boolean complete, List<DiscoveredEndpoint> endpoints, List<InvalidEntry> invalidEntries) {
    /** A list of which every entry can be read. */
    public EndpointList(long revision, boolean complete, List<DiscoveredEndpoint> endpoints) {
        this(revision, complete, endpoints, List.of());
    }

    /** The same list with other endpoints. */
    EndpointList withEndpoints(List<DiscoveredEndpoint> others) {
        return new EndpointList(revision, complete, others, invalidEntries);
    }

    /** The ids that the list names. */
    public Set<EndpointId> ids() {
        return endpoints.stream().map(DiscoveredEndpoint::id).collect(Collectors.toSet());
    }

    /** A list that changes nothing: discovery stands where it stood. */
    static EndpointList unchanged(long revision) {
        return new EndpointList(revision, false, List.of());
    }
}
