package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import fawnlb.policy.SimulatedFleet.Shape;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.LongStream;
import org.junit.Test;

/**
 * Slow start under many instances. Instances share nothing: each takes its own part of an endpoint's budget, whether
 * many are quiet and a few are not, and in a burst that begins with the start.
 */
public class FleetSlowStartTest {
    /**
     * How many requests a second an endpoint can serve at the ordinary rate, at which it is sent one: the load is 0.8.
     */
    private static final double CAPACITY_PER_SECOND = 1.25;

    private static final double BURST = 2.4;

    /** The attempts on an endpoint in one window of its slow start, and how many the settings allow in it. */
    private record Window(String fleet, long sinceStartMs, long attempts, double allowed) {}

    private static void assertWithin(DoubleUnaryOperator bound, List<Window> windows) {
        for (Window window : windows) {
            assertTrue(window.toString(), window.attempts() <= bound.applyAsDouble(window.allowed()));
        }
    }

    /** What chance adds to N requests of mean work at most. */
    private static double withChance(double n) {
        return n + 2 * Math.sqrt(n) + 2;
    }

    @Test
    public void instancesTogetherDoNotOverloadAnEndpointInSlowStart() {
        List<EndpointLifecycle> lifecycles = List.of(
                new EndpointLifecycle(750 * MS, 10 * S, 0.36, 8900 * MS, 4, 3 * S),
                new EndpointLifecycle(S, 10 * S, 0.12, 24 * S, 2.5, 2 * S),
                new EndpointLifecycle(500 * MS, 10 * S, 0.5, 5 * S, 3, S));
        int[] instances = {2, 6, 20, 30, 100};
        int[] endpoints = {12, 12, 12, 14, 52};
        for (EndpointLifecycle lifecycle : lifecycles) {
            for (int i = 0; i < instances.length; i++) {
                for (long seed = 1; seed <= 8; seed++) {
                    Shape shape = new Shape(instances[i], endpoints[i], 0, lifecycle);
                    assertWithin(FleetSlowStartTest::withChance, windowsOfSlowStart(shape, seed, 1));
                }
            }
        }
    }

    /**
     * At one request a second and endpoint the ring's even share alone stays near the bound, and hides what each
     * instance adds. Here the even share in the burst is several times what is allowed: only the instances' own ramp
     * keeps the sum down.
     */
    @Test
    public void slowStartHoldsWhereAnEvenShareWouldOverload() {
        List<EndpointLifecycle> lifecycles = List.of(
                new EndpointLifecycle(750 * MS, 10 * S, 0.1, 9 * S, 2.5, 2 * S),
                new EndpointLifecycle(500 * MS, 10 * S, 0.15, 12 * S, 2, S));
        int[] instances = {1, 2, 3, 30, 120};
        int[] endpoints = {6, 8, 12, 12, 24};
        DoubleUnaryOperator bound = n -> n < 30 ? n + 3 * Math.sqrt(n) + 3 : withChance(n);
        for (EndpointLifecycle lifecycle : lifecycles) {
            for (int i = 0; i < instances.length; i++) {
                for (long seed = 1; seed <= 4; seed++) {
                    Shape shape = new Shape(instances[i], endpoints[i], 0, lifecycle);
                    assertWithin(bound, windowsOfSlowStart(shape, seed, 10));
                }
            }
        }
    }

    /**
     * An endpoint restarts under a multiple of the ordinary rate, and under a burst in its first 5 s; returns one
     * window for each attempt on it.
     */
    private static List<Window> windowsOfSlowStart(Shape shape, long seed, double rate) {
        long[] prefixes = SimulatedFleet.prefixes(40);
        SimulatedFleet fleet = new SimulatedFleet(shape, seed);
        fleet.unevenTraffic = seed % 2 == 0;
        fleet.rate = rate;
        fleet.play((int) (rate * 15 * shape.endpoints()), prefixes);
        fleet.attemptTimesOfFirstEndpoint.clear();
        long startedAt = fleet.queue.now();
        // Instances that restart at the same time have seen no load by which to know their share.
        int restarting = seed % 4 > 1 ? shape.instances() * 7 / 10 : 0;
        scheduleRestarts(fleet, restarting, startedAt);
        fleet.rate = BURST * rate;
        fleet.play((int) (BURST * rate * 5 * shape.endpoints()), prefixes);
        fleet.rate = rate;
        fleet.play((int) (rate * shape.lifecycle().slowStartWindowNanos() / S * shape.endpoints()), prefixes);
        String name = shape + ", seed " + seed;
        assertTrue(name + ": never used", !fleet.attemptTimesOfFirstEndpoint.isEmpty());
        return windows(name, fleet.attemptTimesOfFirstEndpoint, startedAt, shape.lifecycle(), rate);
    }

    private static void scheduleRestarts(SimulatedFleet fleet, int restartingInstances, long startedAt) {
        fleet.updateFirstEndpointWithinASecond(EndpointPhase.READY, startedAt);
        fleet.queue.schedule(startedAt, () -> fleet.updateFirstEndpoint(EndpointPhase.DRAINING, 0));
        for (int i = 0; i < restartingInstances; i++) {
            int instance = i;
            fleet.queue.schedule(startedAt + S, () -> fleet.restart(instance, startedAt));
        }
    }

    private static List<Window> windows(
            String name, List<Long> attemptTimes, long startedAt, EndpointLifecycle lifecycle, double rate) {
        List<Window> windows = new ArrayList<>();
        int end = 0;
        for (int begin = 0; begin < attemptTimes.size(); begin++) {
            long beginAt = attemptTimes.get(begin);
            while (end < attemptTimes.size()
                    && attemptTimes.get(end) < beginAt + lifecycle.slowStartOverloadWindowNanos()) {
                end++;
            }
            double allowed = allowedInWindow(beginAt - startedAt, lifecycle, rate);
            windows.add(new Window(name, (beginAt - startedAt) / MS, end - begin, allowed));
        }
        return windows;
    }

    private static double allowedInWindow(long ageNanos, EndpointLifecycle lifecycle, double rate) {
        double age = Math.min(1, ageNanos / (double) lifecycle.slowStartWindowNanos());
        double initial = lifecycle.slowStartInitialCapacity();
        return lifecycle.slowStartOverloadMultiple()
                * (initial + (1 - initial) * age)
                * CAPACITY_PER_SECOND
                * rate
                * lifecycle.slowStartOverloadWindowNanos()
                / S;
    }

    /** Where all endpoints have just started, no request waits: there is no warm one to send it to meanwhile. */
    @Test
    public void idleInstanceStartsAtOnceWhenAllEndpointsAreInSlowStart() {
        for (long seed = 1; seed <= 20; seed++) {
            List<Long> oneIsWarm = endpointsOfTwentyRequests(seed, 1);
            assertTrue("seed " + seed + ": " + oneIsWarm, oneIsWarm.size() == 20 && !oneIsWarm.contains(2L));
            // Each endpoint in slow start is sent one request, and rests.
            List<Long> noneIsWarm = endpointsOfTwentyRequests(seed, 0);
            assertTrue(
                    "seed " + seed + ": " + noneIsWarm,
                    noneIsWarm.size() == 2 && noneIsWarm.containsAll(List.of(1L, 2L)));
        }
    }

    private static List<Long> endpointsOfTwentyRequests(long seed, int warmEndpoints) {
        long now = 100 * S;
        List<Long> endpointIds = new ArrayList<>();
        BoundedLoadBalancer loadBalancer =
                new BoundedLoadBalancer(LoadBalancerHarness.instanceSettings(2, 0), seed, action -> {
                    if (action instanceof StartAttempt start) {
                        endpointIds.add(start.endpointId().ringSeed());
                    }
                });
        List<Endpoint> endpoints = LongStream.rangeClosed(1, 2)
                .mapToObj(id -> new Endpoint(
                        EndpointId.ofNumber(id), EndpointPhase.READY, id <= warmEndpoints ? 0 : now, 1, 0, 0, 0))
                .toList();
        loadBalancer.onEvent(now, new EndpointsUpdated(EndpointUpdateKind.FULL, 1, endpoints));
        for (long key = 1; key <= 20; key++) {
            loadBalancer.onEvent(
                    now, new RequestArrived(key, 0, 0, key, 0, 4 * S, 0, 500, 0, 200, false, false, false));
        }
        return endpointIds;
    }
}
