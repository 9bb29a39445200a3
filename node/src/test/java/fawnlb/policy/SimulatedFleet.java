package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * Many load balancers in front of the same endpoints, on one clock. Each request goes to one of them at random; what
 * they start is counted and served.
 */
final class SimulatedFleet {
    /** How long a response takes. */
    static final long RESPONSE_NANOS = 2000 * MS;

    private static final long FIRST_TOKEN_NANOS = 100 * MS;
    private static final long FIRST_ENDPOINT = 1;
    /** At the ordinary rate this many requests are in flight at each endpoint. */
    private static final int IN_FLIGHT_PER_ENDPOINT = 2;

    /** How large a fleet is, and how its endpoints behave; the slower kind is found among five endpoints each. */
    record Shape(int instances, int endpoints, int slowEndpointsInFive, EndpointLifecycle lifecycle) {
        static Shape of(int instances, int endpoints) {
            return of(instances, endpoints, 2);
        }

        static Shape of(int instances, int endpoints, int slowEndpointsInFive) {
            return new Shape(
                    instances,
                    endpoints,
                    slowEndpointsInFive,
                    LoadBalancerHarness.idempotentSettings().endpointLifecycle());
        }
    }

    final Shape shape;
    final EventQueue queue = new EventQueue(100 * S);
    final SplittableRandom random;
    /** Endpoints that were sent a prefix. */
    final Map<Long, Set<Long>> endpointsOfPrefix = new HashMap<>();

    final Map<Long, Integer> attemptsOfEndpoint = new HashMap<>();
    final List<Long> attemptTimesOfFirstEndpoint = new ArrayList<>();
    /** The ordinary rate is multiplied by this. */
    double rate = 1;
    /** Whether one instance in ten receives half of the requests beside its share of the others. */
    boolean unevenTraffic;
    /** How long a response takes at the slower kind. */
    long slowResponseNanos = RESPONSE_NANOS;

    private final long seed;
    private final List<BoundedLoadBalancer> loadBalancers = new ArrayList<>();
    private final Map<Long, Long> prefixOfRequest = new HashMap<>();
    private long lastRequestId;

    SimulatedFleet(Shape shape, long seed) {
        this.shape = shape;
        this.seed = seed;
        random = new SplittableRandom(seed);
        for (int instance = 0; instance < shape.instances(); instance++) {
            loadBalancers.add(newLoadBalancer(instance, 0));
        }
    }

    /** The prefixes of a fleet's requests. */
    static long[] prefixes(int count) {
        return LongStream.rangeClosed(1, count).map(i -> i * 7919).toArray();
    }

    /** Replaces an instance by one that knows only the endpoints, of which the first has started at this time. */
    void restart(int instance, long firstStartedAt) {
        loadBalancers.set(instance, newLoadBalancer(instance, firstStartedAt));
    }

    private BoundedLoadBalancer newLoadBalancer(int instance, long firstStartedAt) {
        BoundedLoadBalancer loadBalancer = new BoundedLoadBalancer(
                LoadBalancerHarness.instanceSettings(shape.instances(), instance, shape.lifecycle()),
                seed + instance,
                action -> onAction(instance, action));
        List<Endpoint> endpoints = LongStream.rangeClosed(1, shape.endpoints())
                .mapToObj(id -> endpoint(id, EndpointPhase.READY, id == FIRST_ENDPOINT ? firstStartedAt : 0))
                .toList();
        loadBalancer.onEvent(queue.now(), new EndpointsUpdated(EndpointUpdateKind.FULL, 1, endpoints));
        return loadBalancer;
    }

    private Endpoint endpoint(long id, EndpointPhase phase, long startedAt) {
        return new Endpoint(EndpointId.ofNumber(id), phase, startedAt, 1, 0, 0, isSlow(id) ? 1 : 0);
    }

    /** Tells all instances of the first endpoint's phase. */
    void updateFirstEndpoint(EndpointPhase phase, long startedAt) {
        for (BoundedLoadBalancer loadBalancer : loadBalancers) {
            updateFirstEndpoint(loadBalancer, phase, startedAt);
        }
    }

    /**
     * Tells the present process of each instance of the first endpoint's phase, at a random moment of the next second.
     */
    void updateFirstEndpointWithinASecond(EndpointPhase phase, long startedAt) {
        for (BoundedLoadBalancer loadBalancer : loadBalancers) {
            long at = queue.now() + random.nextLong(S);
            queue.schedule(at, () -> updateFirstEndpoint(loadBalancer, phase, startedAt));
        }
    }

    private void updateFirstEndpoint(BoundedLoadBalancer loadBalancer, EndpointPhase phase, long startedAt) {
        List<Endpoint> changed = List.of(endpoint(FIRST_ENDPOINT, phase, startedAt));
        loadBalancer.onEvent(queue.now(), new EndpointsUpdated(EndpointUpdateKind.DELTA, 2, changed));
    }

    private void onAction(int instance, LoadBalancerAction action) {
        if (action instanceof StartAttempt start) {
            onAttemptStarted(instance, start);
        }
    }

    private void onAttemptStarted(int instance, StartAttempt start) {
        EndpointId endpointId = start.endpointId();
        long number = endpointId.ringSeed();
        long requestId = start.requestId();
        endpointsOfPrefix
                .computeIfAbsent(prefixOfRequest.get(requestId), prefix -> new HashSet<>())
                .add(number);
        attemptsOfEndpoint.merge(number, 1, Integer::sum);
        if (number == FIRST_ENDPOINT) {
            attemptTimesOfFirstEndpoint.add(queue.now());
        }
        long responseNanos = isSlow(number) ? slowResponseNanos : RESPONSE_NANOS;
        after(FIRST_TOKEN_NANOS, instance, new ResponseStarted(requestId, 0, endpointId, FIRST_TOKEN_NANOS));
        after(
                responseNanos,
                instance,
                new AttemptEnded(requestId, 0, endpointId, AttemptOutcome.SERVED, true, responseNanos, 0, List.of()));
    }

    private void after(long nanos, int instance, LoadBalancerEvent event) {
        queue.schedule(queue.now() + nanos, () -> loadBalancers.get(instance).onEvent(queue.now(), event));
    }

    boolean isSlow(long endpointId) {
        return endpointId % 5 < shape.slowEndpointsInFive();
    }

    /** Lets requests arrive; a prefix is the rarer the later it stands, as one over its place. */
    void play(int requests, long[] prefixes) {
        long gap = (long) (RESPONSE_NANOS / (IN_FLIGHT_PER_ENDPOINT * shape.endpoints() * rate));
        for (int i = 0; i < requests; i++) {
            queue.jumpTo(queue.now() + gap);
            int place = (int) Math.exp(random.nextDouble() * Math.log(prefixes.length + 1)) - 1;
            arrive(prefixes[place]);
        }
    }

    private void arrive(long prefix) {
        long requestId = ++lastRequestId;
        prefixOfRequest.put(requestId, prefix);
        int instances = loadBalancers.size();
        int receivers = unevenTraffic && random.nextBoolean() ? (instances + 9) / 10 : instances;
        BoundedLoadBalancer receiver = loadBalancers.get(random.nextInt(receivers));
        long session = random.nextLong() | 1;
        receiver.onEvent(
                queue.now(),
                new RequestArrived(requestId, 0, 0, session, prefix, 4 * S, 0, 3000, 2500, 300, false, false, false));
    }
}
