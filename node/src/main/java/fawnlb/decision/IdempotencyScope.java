package fawnlb.decision;

/** Which replicas drop repeats of a keyed request. */
public enum IdempotencyScope {
    ALL,
    ZONE,
    CELL
}
