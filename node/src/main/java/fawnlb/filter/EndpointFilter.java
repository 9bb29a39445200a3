package fawnlb.filter;

import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;

/**
 * One step between the list of backends and the decision module: it sees each list as the step before shows it and
 * every other event before the module does, and decides what the next step is to believe of each backend. A view does
 * no I/O and reads no clock; times are nanoseconds on the host's clock, which never goes back.
 *
 * <p>What a view shows on its own account has the kind {@link fawnlb.decision.EndpointUpdateKind#FILTERED}: it changes
 * the named backends alone and says nothing of whether the list is being followed.
 */
public interface EndpointFilter {
    /** {@link #nextWakeupAt} of a view that waits for nothing. */
    long NEVER = Long.MAX_VALUE;

    /** A list, as the step before shows it. What the next step sees in its place, null if it sees nothing. */
    EndpointsUpdated onEndpointsUpdated(long now, EndpointsUpdated update);

    /** Any other event. What the next step is to see because of it, null if nothing. */
    EndpointsUpdated onEvent(long now, LoadBalancerEvent event);

    /** When this view wants to be woken, {@link #NEVER} if not at all. */
    long nextWakeupAt();

    /** The time of {@link #nextWakeupAt} has come. What the next step is to see because of it, null if nothing. */
    EndpointsUpdated onWakeup(long now);
}
