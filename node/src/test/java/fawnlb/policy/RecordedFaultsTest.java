package fawnlb.policy;

import static fawnlb.policy.RecordedScenarios.CHAT;
import static fawnlb.policy.RecordedScenarios.CROSSING_COSTS;
import static fawnlb.policy.RecordedScenarios.host;
import static fawnlb.policy.RecordedScenarios.settings;
import static fawnlb.policy.SimulatedHost.endpoint;
import static fawnlb.policy.SimulatedHost.ready;
import static fawnlb.policy.TestSettings.requestClass;
import static org.junit.Assert.assertEquals;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.Limits;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import fawnlb.policy.SimulatedHost.Behavior;
import fawnlb.policy.SimulatedHost.Traffic;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;

/** Recorded decisions, as in {@link RecordedDecisionsTest}, under faults, repeats and malformed events. */
public class RecordedFaultsTest {
    private static final long MS = SimulatedHost.MS;
    private static final long S = SimulatedHost.S;
    /** The first-token objective grows with the prompt, and late responses are worth something. */
    private static final RequestClass OBJECTIVE_PER_TOKEN = new RequestClass(
            Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 200 * MS, 0.5 * MS, 4 * S, 0, 2, 0.5, false);

    private static final EndpointId FIRST_ENDPOINT = EndpointId.ofNumber(1);

    private static final RequestClass SHORT_WINDOW =
            new RequestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL, 50 * MS, S, 0, 4 * S, 0, 1, 0, true);

    @Test
    public void everyOutcomeOfAnAttempt() {
        SimulatedHost host = host(4, CHAT, requestClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL));
        host.list(EndpointUpdateKind.FULL, ready(12));
        Traffic traffic = new Traffic(50, 40, 300, 0, 2, 1, 0.02);
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR,
            AttemptOutcome.FULL,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET,
            AttemptOutcome.NEVER_SENT,
            AttemptOutcome.STALLED,
            AttemptOutcome.CANCELLED
        }) {
            host.behave(12, id -> id <= 4, Behavior.failing(outcome, 0.7));
            host.play(4 * S, traffic);
            host.behave(12, id -> id <= 4, Behavior.failingMidStream(outcome, 0.5));
            host.play(3 * S, traffic);
            host.behave(12, id -> true, Behavior.HEALTHY);
            host.play(3 * S, traffic);
        }
        assertEquals("4239 93bf34b14d118262a1391af520f71939bb4db6ca69eccd03b5260cfad49a7e5b", host.result());
    }

    @Test
    public void zoneOutage() {
        SimulatedHost host = host(5, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(18));
        host.play(5 * S, Traffic.steady(80));
        host.behave(18, id -> id % 3 == 1, Behavior.failing(AttemptOutcome.CONNECT_FAILED, 1));
        host.play(12 * S, Traffic.steady(80));
        host.behave(18, id -> id % 3 == 1, Behavior.HEALTHY);
        host.behave(18, id -> id % 3 == 2, Behavior.failing(AttemptOutcome.CONNECT_FAILED, 0.5));
        host.play(8 * S, Traffic.steady(80));
        assertEquals("2144 311c3d8735f0cb242a85a04960a58d9a58ee204a1514f15cccc2302ef4013cd7", host.result());
    }

    @Test
    public void idempotencyOfEveryKindAndScope() {
        SimulatedHost host = host(
                7,
                CHAT,
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL),
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ZONE),
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL),
                requestClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL),
                OBJECTIVE_PER_TOKEN,
                SHORT_WINDOW);
        // Class 7 is one that the settings don't name.
        Traffic traffic = new Traffic(60, 40, 300, 0, 8, 1, 0.05);
        host.list(EndpointUpdateKind.FULL, ready(18));
        AttemptOutcome[] outcomes = {
            AttemptOutcome.ERROR,
            AttemptOutcome.FULL,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET,
            AttemptOutcome.TIMEOUT
        };
        for (int round = 0; round < 8; round++) {
            int shift = round;
            host.behave(18, id -> true, Behavior.HEALTHY);
            host.behave(18, id -> (id + shift) % 4 == 0, Behavior.failing(outcomes[round % outcomes.length], 0.8));
            host.play(5 * S, traffic);
        }
        assertEquals("2794 0b2852f4e64470cedda08fddcb1abb60af7ac57c546530a90dbb7f408188b27d", host.result());
    }

    @Test
    public void clientsThatLeave() {
        for (boolean cancel : new boolean[] {true, false}) {
            Limits limits = new Limits(3, 1000, false, cancel, false, false, 0);
            SimulatedHost host = host(9, settings(CHAT).limits(limits));
            Traffic traffic = new Traffic(60, 20, 300, 0.2, 1, 1, 0.5);
            host.list(EndpointUpdateKind.FULL, ready(5));
            host.behave(5, id -> true, Behavior.healthy(400 * MS, 4 * MS));
            host.behave(5, id -> id == 3, Behavior.failing(AttemptOutcome.ERROR, 0.5));
            host.play(20 * S, traffic);
            assertEquals(
                    cancel
                            ? "1361 2ff393bdeb0d94a1fe89602f2f6bbd6a326bf76d032c364b7eceafe62b9a12ee"
                            : "1217 c77dde96631e2abe3b72882bcfab4089360bc4019965dcef45619384d1561a8f",
                    host.result());
        }
    }

    @Test
    public void malformedAndUnknownEvents() {
        SimulatedHost host = host(16, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(6));
        double[] malformedTokens = {Double.NaN, Double.POSITIVE_INFINITY, -5, 0, 1e12};
        long id = 1_000_000;
        for (int round = 0; round < 40; round++) {
            for (double tokens : malformedTokens) {
                host.arrive(malformedRequest(++id, round, tokens));
            }
            reportUnknownAttempts(host, id);
            host.play(100 * MS, Traffic.steady(100));
        }
        host.pass(10 * S);
        assertEquals("628 7a92c67b0653c3110297cd5e69925abcb0c9d67a96b3e37e6c6faf2bde20f89f", host.result());
    }

    private static RequestArrived malformedRequest(long id, int round, double tokens) {
        long timeoutNanos = new long[] {0, -1, Long.MAX_VALUE, 50 * MS}[round % 4];
        return new RequestArrived(
                id,
                round % 3 - 1,
                round - 5,
                round,
                -round,
                timeoutNanos,
                -3,
                tokens,
                tokens,
                tokens,
                true,
                true,
                true);
    }

    private static void reportUnknownAttempts(SimulatedHost host, long requestId) {
        host.handle(new LoadBalancerEvent.AttemptEnded(
                requestId, 3, FIRST_ENDPOINT, AttemptOutcome.SERVED, true, 1, 0, List.of()));
        host.handle(new LoadBalancerEvent.ResponseStarted(requestId, 3, FIRST_ENDPOINT, 1));
        host.handle(
                new LoadBalancerEvent.AttemptEnded(5, 0, FIRST_ENDPOINT, AttemptOutcome.SERVED, true, 1, 0, List.of()));
        host.handle(new LoadBalancerEvent.ResponseStarted(5, 0, FIRST_ENDPOINT, 1));
        host.handle(new LoadBalancerEvent.ClientDisconnected(5));
        host.handle(new LoadBalancerEvent.PeerMessage(1, new byte[3]));
        host.handle(new LoadBalancerEvent.HealthChecked(FIRST_ENDPOINT, AttemptOutcome.SERVED, 1, List.of(Double.NaN)));
        host.handle(new TimerFired(-7));
    }

    @Test
    public void randomFaultsAndListChanges() {
        RequestClass keyed = requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ZONE);
        RequestClass once = requestClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL);
        TestSettings settings = settings(CHAT, keyed, once)
                .discoveryMode(DiscoveryMode.WATCHED)
                .costs(CROSSING_COSTS)
                .tenants(new Tenant(0.5, 10), new Tenant(0.5, 10));
        SimulatedHost host = host(17, settings);
        host.listed = List.of(ready(24));
        host.list(EndpointUpdateKind.FULL, ready(24));
        SplittableRandom random = new SplittableRandom(170);
        for (int round = 0; round < 60; round++) {
            long id = 1L + random.nextInt(30);
            AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
            host.behaviors.put(
                    id,
                    random.nextInt(3) == 0
                            ? Behavior.HEALTHY
                            : random.nextBoolean()
                                    ? Behavior.failing(outcome, 0.6)
                                    : Behavior.failingMidStream(outcome, 0.4));
            host.behaviors.put(1 + id % 24, Behavior.healthy(random.nextLong(S), random.nextLong(12 * MS)));
            EndpointPhase phase = EndpointPhase.values()[random.nextInt(3)];
            EndpointUpdateKind kind = random.nextInt(6) == 0 ? EndpointUpdateKind.FAILED : EndpointUpdateKind.DELTA;
            host.list(kind, endpoint(id, phase, random.nextBoolean() ? 0 : host.now() - random.nextLong(10 * S)));
            host.play(800 * MS, new Traffic(40 + random.nextInt(80), 60, 400, random.nextDouble() / 2, 4, 3, 0.1));
        }
        assertEquals("4311 3ff0e2983496b85a957942bbd37a70a0cdf14b24506fbdb11c3fd38ca240b813", host.result());
    }
}
