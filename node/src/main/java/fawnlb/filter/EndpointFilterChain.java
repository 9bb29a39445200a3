package fawnlb.filter;

import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings;
import java.util.Arrays;
import java.util.List;

/**
 * A load balancer behind a chain of filters; to its host the two are one load balancer. An update of the endpoint list
 * passes through all filters in turn. Any other event is shown to each filter first, so that the load balancer decides
 * on a retry with what the filters have learned from the failed attempt.
 */
public final class EndpointFilterChain implements LoadBalancer {
    private final List<EndpointFilter> filters;
    private final ActionSink actionSink;
    private final LoadBalancer loadBalancer;
    private final long[] timerDueAt;

    /**
     * Creates the chain and the load balancer behind it.
     *
     * @param filters the filters, in the order in which an update passes through them. A timer of theirs has a token
     *     below 0, which no load balancer uses; the first filter's is -1
     * @param factory creates the load balancer from the settings, the seed and the sink
     */
    public EndpointFilterChain(
            List<EndpointFilter> filters,
            Factory factory,
            LoadBalancerSettings settings,
            long seed,
            ActionSink actionSink) {
        this.filters = List.copyOf(filters);
        this.actionSink = actionSink;
        this.loadBalancer = factory.create(settings, seed, actionSink);
        this.timerDueAt = new long[filters.size()];
        Arrays.fill(timerDueAt, EndpointFilter.NEVER);
    }

    @Override
    public void onEvent(long now, LoadBalancerEvent event) {
        if (event instanceof TimerFired timer && isFilterToken(timer.token())) {
            wakeUp(now, filterIndex(timer.token()));
        } else if (event instanceof EndpointsUpdated update) {
            passFrom(now, 0, update);
        } else {
            showToFilters(now, event);
            loadBalancer.onEvent(now, event);
        }
        setTimers(now);
    }

    private static boolean isFilterToken(int token) {
        return token < 0;
    }

    private static int filterIndex(int token) {
        return -1 - token;
    }

    private static int timerToken(int filterIndex) {
        return -1 - filterIndex;
    }

    private void wakeUp(long now, int filterIndex) {
        EndpointFilter filter = filters.get(filterIndex);
        timerDueAt[filterIndex] = EndpointFilter.NEVER;
        if (filter.nextWakeupAt() <= now) {
            passFrom(now, filterIndex + 1, filter.onWakeup(now));
        }
    }

    private void showToFilters(long now, LoadBalancerEvent event) {
        for (int filterIndex = 0; filterIndex < filters.size(); filterIndex++) {
            passFrom(now, filterIndex + 1, filters.get(filterIndex).onEvent(now, event));
        }
    }

    /** Passes an update through the filters from this one on, and to the load balancer if any is left. */
    private void passFrom(long now, int firstFilter, EndpointsUpdated update) {
        EndpointsUpdated filtered = update;
        for (int filterIndex = firstFilter; filterIndex < filters.size() && filtered != null; filterIndex++) {
            filtered = filters.get(filterIndex).onEndpointsUpdated(now, filtered);
        }
        if (filtered != null) {
            loadBalancer.onEvent(now, filtered);
        }
    }

    /**
     * Sets a timer for each filter that wants to be woken earlier than its timer is due. A timer that is no longer
     * wanted is left, since {@link #onEvent} ignores one that comes too early.
     */
    private void setTimers(long now) {
        for (int filterIndex = 0; filterIndex < timerDueAt.length; filterIndex++) {
            long wakeupAt = filters.get(filterIndex).nextWakeupAt();
            if (wakeupAt < timerDueAt[filterIndex]) {
                timerDueAt[filterIndex] = Math.max(wakeupAt, now);
                actionSink.perform(new SetTimer(timerDueAt[filterIndex], timerToken(filterIndex)));
            }
        }
    }
}
