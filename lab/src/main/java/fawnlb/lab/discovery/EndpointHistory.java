package fawnlb.lab.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.discovery.EndpointListCodec;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The endpoint list of a {@link DiscoveryServer}, its revision and its latest changes. Not thread-safe. */
final class EndpointHistory {
    /** Changes that a watch can resume from; a node that is further behind gets the complete list. */
    private static final int MAX_CHANGES = 64;

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<EndpointId, DiscoveredEndpoint> endpoints = new LinkedHashMap<>();
    private final TreeMap<Long, List<DiscoveredEndpoint>> changes = new TreeMap<>();
    private long revision;

    EndpointHistory(long revision) {
        this.revision = revision;
    }

    long revision() {
        return revision;
    }

    List<DiscoveredEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** Adds a revision with these changes; an endpoint whose phase is GONE is removed. */
    void apply(List<DiscoveredEndpoint> changed) {
        revision++;
        changes.put(revision, changed);
        if (changes.size() > MAX_CHANGES) {
            changes.pollFirstEntry();
        }
        for (DiscoveredEndpoint endpoint : changed) {
            endpoints.remove(endpoint.id());
            if (endpoint.phase() != EndpointPhase.GONE) {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
    }

    /** Replaces the endpoint list and forgets all changes, as a service that has lost its state. */
    void replace(long newRevision, List<DiscoveredEndpoint> list) {
        endpoints.clear();
        changes.clear();
        revision = newRevision;
        list.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
    }

    /** Returns the changes after this revision, or nothing if they are not all known. */
    Optional<List<DiscoveredEndpoint>> changesSince(long fromRevision) {
        boolean known = fromRevision > 0
                && fromRevision <= revision
                && (changes.isEmpty() ? fromRevision == revision : fromRevision >= changes.firstKey() - 1);
        if (!known) {
            return Optional.empty();
        }
        List<DiscoveredEndpoint> since = new ArrayList<>();
        changes.tailMap(fromRevision, false).values().forEach(since::addAll);
        return Optional.of(since);
    }

    /** Formats the complete list as one line of JSON. */
    String formatComplete() {
        return format(revision, true, endpoints.values());
    }

    /** Formats changes up to a revision as one line of JSON. */
    static String formatChanges(long revision, List<DiscoveredEndpoint> changed) {
        return format(revision, false, changed);
    }

    private static String format(long revision, boolean complete, Collection<DiscoveredEndpoint> endpoints) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("revision", revision);
            out.writeBooleanField("complete", complete);
            out.writeArrayFieldStart("members");
            for (DiscoveredEndpoint endpoint : endpoints) {
                EndpointListCodec.writeEndpoint(endpoint, out);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a string can't fail", e);
        }
        return text + "\n";
    }
}
