package fawnlb.discovery;

import fawnlb.decision.EndpointPhase;

/**
 * An entry of an endpoint list that can't be read.
 *
 * @param id the id that it names, empty if it has none
 * @param field the first field that can't be read
 * @param phase the phase that it names, null if that can't be read
 */
public record InvalidEntry(String id, String field, EndpointPhase phase) {}
