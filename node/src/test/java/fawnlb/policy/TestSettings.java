package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.decision.LoadBalancerSettings.ConnectionTimeouts;
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import fawnlb.decision.LoadBalancerSettings.Limits;
import fawnlb.decision.LoadBalancerSettings.LoadReporting;
import fawnlb.decision.LoadBalancerSettings.Names;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import java.util.List;

/**
 * Builds settings for tests. Unless set otherwise, they are those of one instance of a site with idempotent requests.
 */
final class TestSettings {
    private int instanceIndex;
    private int instances = 1;
    private DiscoveryMode discoveryMode = DiscoveryMode.PUSHED;
    private List<RequestClass> requestClasses = List.of(requestClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL));
    private List<Tenant> tenants = List.of();
    private Limits limits = limits(4, true);
    private EndpointLifecycle endpointLifecycle = new EndpointLifecycle(S, 10 * S, 0.3, 9 * S, 2.5, S);
    private Costs costs = new Costs(0, 0);

    /** First tokens are due within a second, idempotency keys are remembered for five. */
    static RequestClass requestClass(Idempotency idempotency, IdempotencyScope scope) {
        return new RequestClass(idempotency, scope, 5 * S, S, 0, 4 * S, 0, 1, 0, true);
    }

    static Limits limits(int maxAttempts, boolean cancellation) {
        return new Limits(maxAttempts, 1000, true, cancellation, false, false, 2 * S);
    }

    TestSettings instance(int index, int of) {
        instanceIndex = index;
        instances = of;
        return this;
    }

    TestSettings discoveryMode(DiscoveryMode mode) {
        discoveryMode = mode;
        return this;
    }

    TestSettings requestClasses(RequestClass... classes) {
        requestClasses = List.of(classes);
        return this;
    }

    TestSettings tenants(Tenant... listed) {
        tenants = List.of(listed);
        return this;
    }

    TestSettings limits(Limits allowed) {
        limits = allowed;
        return this;
    }

    TestSettings endpointLifecycle(EndpointLifecycle lifecycle) {
        endpointLifecycle = lifecycle;
        return this;
    }

    TestSettings costs(Costs charged) {
        costs = charged;
        return this;
    }

    LoadBalancerSettings build() {
        return new LoadBalancerSettings(
                instanceIndex,
                instances,
                0,
                MS,
                false,
                discoveryMode,
                LoadReporting.NONE,
                List.of(),
                requestClasses,
                tenants,
                limits,
                endpointLifecycle,
                costs,
                new Names(List.of(), List.of(), List.of(), List.of()),
                new ConnectionTimeouts(0, 0));
    }
}
