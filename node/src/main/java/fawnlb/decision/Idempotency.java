package fawnlb.decision;

/** May a request be run more than once? KEYED: only by replicas of one group, within a window. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
