package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.SetTimer;
import fawnlb.decision.LoadBalancerAction.WatchEndpoints;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/** Calls of many instances to the same discovery. */
public class FleetWatchTest {
    private static final long START = 100 * S;

    private static EndpointsUpdated withoutEndpoints(EndpointUpdateKind kind) {
        return new EndpointsUpdated(kind, 1, List.of());
    }

    /** Instances whose calls to discovery fail after a millisecond, each counted by the second it is made in. */
    private static final class FailingDiscovery {
        final EventQueue queue = new EventQueue(START);
        final Map<Long, Integer> callsOfSecond = new HashMap<>();

        void addInstance(int instances, int instance) {
            BoundedLoadBalancer[] loadBalancer = new BoundedLoadBalancer[1];
            loadBalancer[0] = new BoundedLoadBalancer(
                    LoadBalancerHarness.watchingSettings(instances, instance),
                    instance,
                    action -> onAction(loadBalancer[0], action));
            loadBalancer[0].onEvent(queue.now(), withoutEndpoints(EndpointUpdateKind.CACHED));
        }

        private void onAction(BoundedLoadBalancer loadBalancer, LoadBalancerAction action) {
            if (action instanceof SetTimer timer) {
                queue.schedule(timer.dueAt(), () -> loadBalancer.onEvent(queue.now(), new TimerFired(timer.token())));
            } else if (action instanceof WatchEndpoints) {
                callsOfSecond.merge(queue.now() / S, 1, Integer::sum);
                queue.schedule(
                        queue.now() + MS,
                        () -> loadBalancer.onEvent(queue.now(), withoutEndpoints(EndpointUpdateKind.FAILED)));
            }
        }

        int calls(long second) {
            return callsOfSecond.getOrDefault(second, 0);
        }
    }

    /**
     * While discovery fails each call at once, every instance has one call or timer at a time. With two timers left
     * behind by each failure, two instances came from 5 calls a second to 100 within 11 s, and doubled that every 5 s.
     */
    @Test
    public void discoveryOutageDoesNotIncreaseTheCallRate() {
        for (int instances : new int[] {1, 2, 14, 100}) {
            FailingDiscovery discovery = new FailingDiscovery();
            for (int instance = 0; instance < instances; instance++) {
                discovery.addInstance(instances, instance);
            }
            while (discovery.queue.now() < 160 * S) {
                discovery.queue.runNext();
                long second = discovery.queue.now() / S;
                String what = instances + " instances: " + discovery.calls(second) + " calls in second " + second;
                assertTrue(what, discovery.calls(second) <= 100);
            }
            assertTrue(instances + " instances call on", discovery.calls(158) + discovery.calls(159) > 0);
        }
    }

    /**
     * An update counts as notified 6 s after the last contact, and 3.5 s of these are over when a silent watch is given
     * up. Of 100 instances that lost theirs together, those that reopened it up to 4 s later sent requests to endpoints
     * that drained meanwhile.
     */
    @Test
    public void silentWatchIsReopenedBeforeItsMissedUpdatesCountAsNotified() {
        long earliest = Long.MAX_VALUE;
        long latest = 0;
        for (int instance = 0; instance < 100; instance++) {
            long delay = reopenDelay(100, instance);
            earliest = Math.min(earliest, delay);
            latest = Math.max(latest, delay);
        }
        assertTrue("not all at once: " + earliest + " to " + latest, latest - earliest > S);
        assertTrue("after " + latest, latest <= 2 * S);
    }

    /** How long after the loss of its watch an instance's timer is due. */
    private static long reopenDelay(int instances, int instance) {
        List<LoadBalancerAction> actions = new ArrayList<>();
        BoundedLoadBalancer loadBalancer = new BoundedLoadBalancer(
                LoadBalancerHarness.watchingSettings(instances, instance), instance, actions::add);
        loadBalancer.onEvent(START, withoutEndpoints(EndpointUpdateKind.CACHED));
        loadBalancer.onEvent(START, withoutEndpoints(EndpointUpdateKind.DELTA));
        actions.clear();
        loadBalancer.onEvent(START, withoutEndpoints(EndpointUpdateKind.FAILED));
        return ((SetTimer) actions.get(0)).dueAt() - START;
    }
}
