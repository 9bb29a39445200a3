package fawnlb.policy;

import static fawnlb.policy.TestSettings.requestClass;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.RequestClass;

/** What the recorded scenarios have in common: one of two instances, and a class of idempotent requests. */
final class RecordedScenarios {
    static final Costs CROSSING_COSTS = new Costs(0.08, 0.05);
    static final RequestClass CHAT = requestClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL);

    static TestSettings settings(RequestClass... classes) {
        return new TestSettings().instance(0, 2).requestClasses(classes);
    }

    static SimulatedHost host(long seed, RequestClass... classes) {
        return host(seed, settings(classes));
    }

    static SimulatedHost host(long seed, TestSettings settings) {
        return new SimulatedHost(settings.build(), seed);
    }

    private RecordedScenarios() {}
}
