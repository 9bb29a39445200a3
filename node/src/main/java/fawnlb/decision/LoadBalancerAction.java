package fawnlb.decision;

import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.HealthChecked;
import fawnlb.decision.LoadBalancerEvent.TimerFired;

/** What a load balancer asks of its host. */
public sealed interface LoadBalancerAction {

    /**
     * Start the next attempt of a request; attempts are numbered from 0. The host reports its end by
     * {@link AttemptEnded} in any case.
     *
     * @param deadline when to give the attempt up if no response has started
     */
    record StartAttempt(long requestId, EndpointId endpointId, long deadline) implements LoadBalancerAction {}

    /** Give up an attempt whose response has not started. */
    record CancelAttempt(long requestId, int attempt) implements LoadBalancerAction {}

    /**
     * Answer the request finally with a rejection: it did not run, or may safely be sent again.
     *
     * @param retryAfterNanos when the client is advised to send it again; 0 for no advice
     */
    record RejectRequest(long requestId, long retryAfterNanos) implements LoadBalancerAction {}

    /** Answer the request finally with a failure, which leaves open whether it ran. */
    record FailRequest(long requestId) implements LoadBalancerAction {}

    /** Raise {@link TimerFired} with this token at the given time or later. */
    record SetTimer(long dueAt, int token) implements LoadBalancerAction {}

    /** Open a watch on discovery, which reports the endpoints and their changes by {@link EndpointsUpdated}. */
    record WatchEndpoints() implements LoadBalancerAction {}

    /** Ask discovery once for the complete list. */
    record FetchEndpoints() implements LoadBalancerAction {}

    /** Check the health of an endpoint and report it by {@link HealthChecked}. */
    record CheckHealth(EndpointId endpointId) implements LoadBalancerAction {}

    /** Write a line to the log. */
    record Log(String text) implements LoadBalancerAction {}
}
