package fawnlb.decision;

/** What an update of the endpoint list brings, or why it brings nothing. */
public enum EndpointUpdateKind {
    /** The entries that have changed. */
    DELTA,
    /** The complete list, from discovery. */
    FULL,
    /** The complete list as it was last known, from before a restart. */
    CACHED,
    /** Nothing: a call or watch failed. */
    FAILED,
    /** Nothing: a call waited for its turn at discovery and was rejected. */
    THROTTLED,
    /** Nothing: a call was not answered in time. */
    TIMED_OUT,
    /** Entries that a filter between discovery and the load balancer has changed; it says nothing of the watch. */
    FILTERED;

    /** Whether nothing came, so that the endpoints known so far stay in force. */
    public boolean isFailure() {
        return this == FAILED || this == THROTTLED || this == TIMED_OUT;
    }
}
