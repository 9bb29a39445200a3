package fawnlb.decision;

/** The state of a listed endpoint. Constants are written to lists and snapshots by name, in lower case. */
public enum EndpointPhase {
    /** Takes new requests. */
    READY,
    /** Completes the requests that it has, and takes no new ones. */
    DRAINING,
    /** Is no longer listed. */
    GONE
}
