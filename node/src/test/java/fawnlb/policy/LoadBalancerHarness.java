package fawnlb.policy;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
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
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import fawnlb.decision.LoadBalancerSettings.Limits;
import fawnlb.decision.LoadBalancerSettings.LoadReporting;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/** One module under test with its settings, its clock and what it asked for. */
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

    static LoadBalancerSettings settings(Idempotency idempotency, IdempotencyScope scope) {
        return settings(idempotency, scope, DiscoveryMode.PUSHED, new Costs(0, 0));
    }

    static LoadBalancerSettings settings(
            Idempotency idempotency, IdempotencyScope scope, DiscoveryMode discovery, Costs costs) {
        RequestClass requestClass = new RequestClass(idempotency, scope, 5 * S, S, 0, 4 * S, 0, 1, 0, true);
        return new LoadBalancerSettings(
                0,
                1,
                0,
                MS,
                false,
                discovery,
                LoadReporting.NONE,
                List.of(),
                List.of(requestClass),
                List.of(),
                new Limits(4, 1000, true, true, false, false, 2 * S),
                new EndpointLifecycle(S, 10 * S, 0.3, 9 * S, 2.5, S),
                costs);
    }

    /** The settings of one router of so many. */
    static LoadBalancerSettings instanceSettings(int count, int instanceIndex) {
        return instanceSettings(idempotentSettings(), count, instanceIndex);
    }

    /** The same with these figures of the drain and cold-start rules. */
    static LoadBalancerSettings instanceSettings(int count, int instanceIndex, EndpointLifecycle lifecycle) {
        LoadBalancerSettings base = instanceSettings(count, instanceIndex);
        return new LoadBalancerSettings(
                instanceIndex,
                count,
                base.zone(),
                base.tickNanos(),
                base.streamResumption(),
                base.discoveryMode(),
                base.loadReporting(),
                base.loadReportFields(),
                base.requestClasses(),
                base.tenants(),
                base.limits(),
                lifecycle,
                base.costs(),
                base.names(),
                base.connectionTimeouts());
    }

    /** The same where the list has to be asked for. */
    static LoadBalancerSettings watchingSettings(int count, int instanceIndex) {
        return instanceSettings(
                settings(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, DiscoveryMode.WATCHED, new Costs(0, 0)),
                count,
                instanceIndex);
    }

    private static LoadBalancerSettings instanceSettings(LoadBalancerSettings base, int count, int instanceIndex) {
        return new LoadBalancerSettings(
                instanceIndex,
                count,
                base.zone(),
                base.tickNanos(),
                base.streamResumption(),
                base.discoveryMode(),
                base.loadReporting(),
                base.loadReportFields(),
                base.requestClasses(),
                base.tenants(),
                base.limits(),
                base.endpointLifecycle(),
                base.costs(),
                base.names(),
                base.connectionTimeouts());
    }

    static LoadBalancerSettings idempotentSettings() {
        return settings(Idempotency.IDEMPOTENT, IdempotencyScope.ALL);
    }

    static Endpoint endpoint(long id, EndpointPhase phase, long startedAt, int zone) {
        return new Endpoint(id, phase, startedAt, 1, zone, (int) id, 0);
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

    /** A request arrives; its id. */
    long arrive(long prefix, long session) {
        return arrive(prefix, session, 0);
    }

    long arrive(long prefix, long session, int tenant) {
        long id = ++lastRequestId;
        loadBalancer.onEvent(
                now, new RequestArrived(id, 0, tenant, session, prefix, 4 * S, 0, 500, 100, 200, false, false, false));
        return id;
    }

    void endAttempt(StartAttempt send, int attempt, AttemptOutcome outcome, boolean requestFinished) {
        endAttempt(send, attempt, outcome, requestFinished, 100 * MS);
    }

    void endAttempt(
            StartAttempt send, int attempt, AttemptOutcome outcome, boolean requestFinished, long elapsedNanos) {
        loadBalancer.onEvent(
                now,
                new AttemptEnded(
                        send.requestId(),
                        attempt,
                        send.endpointId(),
                        outcome,
                        requestFinished,
                        elapsedNanos,
                        0,
                        List.of()));
    }

    void startResponse(StartAttempt send, int attempt, long elapsedNanos) {
        loadBalancer.onEvent(
                now, new LoadBalancerEvent.ResponseStarted(send.requestId(), attempt, send.endpointId(), elapsedNanos));
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

    /** Where a lone request of this session goes. */
    long primaryEndpoint(long session) {
        arrive(0, session);
        StartAttempt send = lastAttempt();
        endAttempt(send, 0, AttemptOutcome.SERVED, true);
        return send.endpointId();
    }
}
