package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/** A load balancer under test with its settings, its clock and the actions that it asked for. */
final class LoadBalancerHarness {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;

    final List<LoadBalancerAction> actions = new ArrayList<>();
    final BoundedLoadBalancer loadBalancer;
    long now = 100 * S;
    private long lastRequestId;

    LoadBalancerHarness(LoadBalancerSettings settings) {
        loadBalancer = new BoundedLoadBalancer(settings, 7, actions::add);
    }

    /** A load balancer with idempotent requests and this many ready endpoints. */
    static LoadBalancerHarness withEndpoints(int count) {
        return new LoadBalancerHarness(idempotentSettings()).withReadyEndpoints(count);
    }

    /** A load balancer whose requests are of one class, and this many ready endpoints. */
    static LoadBalancerHarness withEndpoints(int count, Idempotency idempotency, IdempotencyScope scope) {
        TestSettings settings = new TestSettings().requestClasses(TestSettings.requestClass(idempotency, scope));
        return new LoadBalancerHarness(settings.build()).withReadyEndpoints(count);
    }

    static LoadBalancerSettings idempotentSettings() {
        return new TestSettings().build();
    }

    /** The settings of one of several instances. */
    static LoadBalancerSettings instanceSettings(int instances, int instanceIndex) {
        return new TestSettings().instance(instanceIndex, instances).build();
    }

    /** The settings of one of several instances, at a site where endpoints start and stop like this. */
    static LoadBalancerSettings instanceSettings(int instances, int instanceIndex, EndpointLifecycle lifecycle) {
        return new TestSettings()
                .instance(instanceIndex, instances)
                .endpointLifecycle(lifecycle)
                .build();
    }

    /** The settings of one of several instances that have to watch discovery. */
    static LoadBalancerSettings watchingSettings(int instances, int instanceIndex) {
        return new TestSettings()
                .instance(instanceIndex, instances)
                .discoveryMode(DiscoveryMode.WATCHED)
                .build();
    }

    static Endpoint endpoint(long id, EndpointPhase phase, long startedAt, int zone) {
        return new Endpoint(EndpointId.ofNumber(id), phase, startedAt, 1, zone, (int) id, 0);
    }

    LoadBalancerHarness updateEndpoints(EndpointUpdateKind kind, Endpoint... endpoints) {
        loadBalancer.onEvent(now, new EndpointsUpdated(kind, 1, List.of(endpoints)));
        return this;
    }

    LoadBalancerHarness withReadyEndpoints(int count) {
        return updateEndpoints(
                EndpointUpdateKind.FULL,
                LongStream.rangeClosed(1, count)
                        .mapToObj(id -> endpoint(id, EndpointPhase.READY, 0, (int) (id % 3)))
                        .toArray(Endpoint[]::new));
    }

    /** Lets a request arrive, and returns its id. */
    long arrive(long prefix, long session) {
        return arrive(prefix, session, 0);
    }

    long arrive(long prefix, long session, int tenant) {
        long id = ++lastRequestId;
        loadBalancer.onEvent(
                now, new RequestArrived(id, 0, tenant, session, prefix, 4 * S, 0, 500, 100, 200, false, false, false));
        return id;
    }

    void endAttempt(StartAttempt started, int attempt, AttemptOutcome outcome, boolean requestFinished) {
        endAttempt(started, attempt, outcome, requestFinished, 100 * MS);
    }

    void endAttempt(
            StartAttempt started, int attempt, AttemptOutcome outcome, boolean requestFinished, long elapsedNanos) {
        loadBalancer.onEvent(
                now,
                new AttemptEnded(
                        started.requestId(),
                        attempt,
                        started.endpointId(),
                        outcome,
                        requestFinished,
                        elapsedNanos,
                        0,
                        List.of()));
    }

    void startResponse(StartAttempt started, int attempt, long elapsedNanos) {
        loadBalancer.onEvent(
                now,
                new LoadBalancerEvent.ResponseStarted(
                        started.requestId(), attempt, started.endpointId(), elapsedNanos));
    }

    <T extends LoadBalancerAction> List<T> actionsOf(Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    List<StartAttempt> startedAttempts() {
        return actionsOf(StartAttempt.class);
    }

    StartAttempt lastAttempt() {
        return startedAttempts().get(startedAttempts().size() - 1);
    }

    /** The endpoint that serves a request of this session while no other is in flight. */
    long primaryEndpoint(long session) {
        arrive(0, session);
        StartAttempt started = lastAttempt();
        endAttempt(started, 0, AttemptOutcome.SERVED, true);
        return started.endpointId().ringSeed();
    }
}
