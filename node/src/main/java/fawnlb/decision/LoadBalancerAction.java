package fawnlb.decision;

/** Anything the module asks of the router. */
public sealed interface LoadBalancerAction {

    /** Start the request's next attempt; attempts are numbered from 0. Dropped at {@code deadline}. */
    record StartAttempt(long requestId, long endpointId, long deadline) implements LoadBalancerAction {}

    /** Stop waiting for an attempt. */
    record CancelAttempt(long requestId, int attempt) implements LoadBalancerAction {}

    /** Final answer: refused, and a retry does no harm. {@code retryAfterNanos}: advice to the client, 0 for none. */
    record RejectRequest(long requestId, long retryAfterNanos) implements LoadBalancerAction {}

    /** Final answer: failed, with no word on what it did. */
    record FailRequest(long requestId) implements LoadBalancerAction {}

    /** Raise {@link TimerFired} at or after the given time. */
    record SetTimer(long dueAt, int token) implements LoadBalancerAction {}

    /** Follow the changes of the replica list from here on. */
    record WatchEndpoints() implements LoadBalancerAction {}

    /** Ask once for the whole replica list. */
    record FetchEndpoints() implements LoadBalancerAction {}

    /** Test a replica. */
    record CheckHealth(long endpointId) implements LoadBalancerAction {}

    /** A line for the log. */
    record Log(String text) implements LoadBalancerAction {}
}
