package fawnlb.decision;

/** Which endpoints share idempotency keys, and so drop repeats of each other's requests. */
public enum IdempotencyScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell of one zone. */
    CELL
}
