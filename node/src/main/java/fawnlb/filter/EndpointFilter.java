package fawnlb.filter;

import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;

/**
 * One step between service discovery and the load balancer. It sees each endpoint list as the step before passes it on,
 * and every other event before the load balancer does, and decides what the next step is to know of each endpoint.
 *
 * <p>An update that a filter makes of its own accord has the kind {@link fawnlb.decision.EndpointUpdateKind#FILTERED}:
 * it changes the endpoints that it names and says nothing of whether the endpoint list is being watched.
 *
 * <p>A filter does no I/O and reads no clock. Times are nanoseconds on the instance's clock, which never goes back. All
 * methods are called on the load balancer's thread.
 */
public interface EndpointFilter {
    /** The value of {@link #nextWakeupAt} of a filter that waits for nothing. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Takes an update of the endpoint list.
     *
     * @return the update for the next step; null for none
     */
    EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update);

    /**
     * Takes any other event, which the load balancer sees afterwards in any case.
     *
     * @return an update for the next step that the event gives rise to; null for none
     */
    EndpointsUpdated onEvent(long now, LoadBalancerEvent event);

    /** When {@link #onWakeup} is to be called; {@link #NEVER} if not at all. */
    long nextWakeupAt();

    /**
     * Called when the time of {@link #nextWakeupAt} has come.
     *
     * @return an update for the next step; null for none
     */
    EndpointsUpdated onWakeup(long now);
}
