package fawnlb.discovery;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancer;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerAction.WatchEndpoints;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.policy.BoundedLoadBalancer;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** A load balancer on a clock of its own, to which a test reports how its calls to discovery ended. */
final class SimulatedInstance {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final PriorityQueue<SetTimer> pendingTimers =
            new PriorityQueue<>(Comparator.comparingLong(SetTimer::dueAt));
    private final LoadBalancer loadBalancer;
    private int calls;
    private long now = 100 * NANOS_PER_SECOND;

    /** Creates one of the given number of instances; it starts with a cached list. */
    SimulatedInstance(int instanceCount, long pollDeadlineNanos, long seed) {
        loadBalancer = new BoundedLoadBalancer(settings(instanceCount, pollDeadlineNanos), seed, this::onAction);
        receive(EndpointUpdateKind.CACHED);
    }

    private static LoadBalancerSettings settings(int instanceCount, long pollDeadlineNanos) {
        return new LoadBalancerSettings(
                0,
                instanceCount,
                0,
                NANOS_PER_SECOND / 1000,
                false,
                LoadBalancerSettings.DiscoveryMode.WATCHED,
                LoadBalancerSettings.LoadReporting.NONE,
                List.of(),
                List.of(requestClass()),
                List.of(),
                new LoadBalancerSettings.Limits(4, 1000, false, true, false, false, NANOS_PER_SECOND),
                new LoadBalancerSettings.EndpointLifecycle(
                        NANOS_PER_SECOND, pollDeadlineNanos, 0.3, 9 * NANOS_PER_SECOND, 2.5, NANOS_PER_SECOND),
                new LoadBalancerSettings.Costs(0, 0),
                new LoadBalancerSettings.Names(List.of(), List.of(), List.of(), List.of()),
                new LoadBalancerSettings.ConnectionTimeouts(0, 0));
    }

    private static LoadBalancerSettings.RequestClass requestClass() {
        return new LoadBalancerSettings.RequestClass(
                Idempotency.IDEMPOTENT,
                IdempotencyScope.ALL,
                0,
                NANOS_PER_SECOND,
                0,
                4 * NANOS_PER_SECOND,
                0,
                1,
                0,
                true);
    }

    private void onAction(LoadBalancerAction action) {
        if (action instanceof SetTimer timer) {
            pendingTimers.add(timer);
        } else if (action instanceof WatchEndpoints) {
            calls++;
        }
    }

    long now() {
        return now;
    }

    void advance(long nanos) {
        now += nanos;
    }

    /** Tells how a call has gone. */
    void receive(EndpointUpdateKind kind) {
        loadBalancer.onEvent(now, new EndpointsUpdated(kind, 1, List.of()));
    }

    /** Makes the first call, which is answered. */
    SimulatedInstance startWatching() {
        runUntilNextCall();
        receive(EndpointUpdateKind.DELTA);
        return this;
    }

    /** Fails the given number of calls, and makes the call after each. */
    SimulatedInstance failCalls(int failures) {
        for (int i = 0; i < failures; i++) {
            receive(EndpointUpdateKind.FAILED);
            runUntilNextCall();
        }
        return this;
    }

    /** Fires timers until a call is made, and returns when that is. */
    long runUntilNextCall() {
        int earlierCalls = calls;
        while (calls == earlierCalls) {
            SetTimer timer = pendingTimers.poll();
            now = Math.max(now, timer.dueAt());
            loadBalancer.onEvent(now, new TimerFired(timer.token()));
        }
        return now;
    }
}
