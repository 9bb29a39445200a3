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
 * A decision module behind a chain of views: to its host it is the module. Lists pass through every view in turn; other
 * events are shown to each view first, so that a retry is decided by what its failure has taught.
 */
public final class EndpointFilterChain implements LoadBalancer {
    private final List<EndpointFilter> filters;
    private final ActionSink actionSink;
    private final LoadBalancer loadBalancer;
    private final long[] timerDueAt;

    /** Timers of the views have tokens below 0, which no module uses: -1 is the first view's. */
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
        if (event instanceof TimerFired timer && timer.token() < 0) {
            int filterIndex = -1 - timer.token();
            timerDueAt[filterIndex] = EndpointFilter.NEVER;
            if (filters.get(filterIndex).nextWakeupAt() <= now) {
                passFrom(now, filterIndex + 1, filters.get(filterIndex).onWakeup(now));
            }
        } else if (event instanceof EndpointsUpdated update) {
            passFrom(now, 0, update);
        } else {
            for (int filterIndex = 0; filterIndex < filters.size(); filterIndex++) {
                passFrom(now, filterIndex + 1, filters.get(filterIndex).onEvent(now, event));
            }
            loadBalancer.onEvent(now, event);
        }
        setTimers(now);
    }

    private void passFrom(long now, int firstFilter, EndpointsUpdated update) {
        EndpointsUpdated filtered = update;
        for (int filterIndex = firstFilter; filterIndex < filters.size() && filtered != null; filterIndex++) {
            filtered = filters.get(filterIndex).onEndpointsUpdated(now, filtered);
        }
        if (filtered != null) {
            loadBalancer.onEvent(now, filtered);
        }
    }

    /** A timer that comes too early finds nothing to do; one is set anew only where a view wants an earlier one. */
    private void setTimers(long now) {
        for (int filterIndex = 0; filterIndex < timerDueAt.length; filterIndex++) {
            long wakeupAt = filters.get(filterIndex).nextWakeupAt();
            if (wakeupAt < timerDueAt[filterIndex]) {
                timerDueAt[filterIndex] = Math.max(wakeupAt, now);
                actionSink.perform(new SetTimer(timerDueAt[filterIndex], -1 - filterIndex));
            }
        }
    }
}
