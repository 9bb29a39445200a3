package fawnlb.decision;

/**
 * What a list event brings: changed entries, the whole list, the list as last held; nothing, since a call or
 * subscription failed, had waited for its turn and was refused, or was never answered; or what a view between the list
 * and the module has changed, which says nothing of whether the list is followed.
 */
public enum EndpointUpdateKind {
    DELTA,
    FULL,
    CACHED,
    FAILED,
    THROTTLED,
    TIMED_OUT,
    FILTERED;

    /** Whether nothing came, and the old list stands. */
    public boolean isFailure() {
        return this == FAILED || this == THROTTLED || this == TIMED_OUT;
    }
}
