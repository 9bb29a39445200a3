package fawnlb.decision;

/** The state of an endpoint in the list. Constants are written to lists and snapshots by name, in lower case. */
public enum EndpointPhase {
    /** Takes new requests. */
    READY,
    /** Completes the requests that it has, and takes no new ones. */
    DRAINING,
    /** Has left the list. */
    GONE
}
