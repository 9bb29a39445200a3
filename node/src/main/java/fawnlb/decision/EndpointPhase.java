package fawnlb.decision;

/** A replica's state in the list. */
public enum EndpointPhase {
    READY,
    DRAINING,
    GONE
}
