package fawnlb.decision;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** It may run any number of times. */
    IDEMPOTENT,
    /**
     * It carries an idempotency key: it may run again within a window, on the endpoints of one
     * {@link IdempotencyScope}.
     */
    IDEMPOTENCY_KEY,
    /** It may run once. */
    NOT_IDEMPOTENT
}
