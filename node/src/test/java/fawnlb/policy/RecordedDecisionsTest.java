package fawnlb.policy;

import static fawnlb.policy.SimulatedHost.endpoint;
import static fawnlb.policy.SimulatedHost.ready;
import static fawnlb.policy.TestSettings.requestClass;
import static org.junit.Assert.assertEquals;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.Limits;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import fawnlb.policy.SimulatedHost.Behavior;
import fawnlb.policy.SimulatedHost.Traffic;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.Test;

/**
 * Holds the load balancer to what it decided when these hashes were recorded. A change that is meant to keep all
 * decisions must reproduce them; one that changes decisions on purpose records new ones in the same commit and says
 * why.
 */
public class RecordedDecisionsTest {
    private static final long MS = SimulatedHost.MS;
    private static final long S = SimulatedHost.S;
    private static final Costs CROSSING_COSTS = new Costs(0.08, 0.05);
    private static final RequestClass CHAT = requestClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL);

    private static TestSettings settings(RequestClass... classes) {
        return new TestSettings().instance(0, 2).requestClasses(classes);
    }

    private static SimulatedHost host(long seed, RequestClass... classes) {
        return host(seed, settings(classes));
    }

    private static SimulatedHost host(long seed, TestSettings settings) {
        return new SimulatedHost(settings.build(), seed);
    }

    @Test
    public void joinsDrainsAndDepartures() {
        SimulatedHost host = host(1, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(12));
        host.play(10 * S, Traffic.steady(40));
        host.list(
                EndpointUpdateKind.DELTA,
                endpoint(13, EndpointPhase.READY, host.now()),
                endpoint(14, EndpointPhase.READY, 0));
        host.play(10 * S, Traffic.steady(40));
        for (long id = 1; id <= 6; id++) {
            host.list(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.DRAINING, 0));
            host.play(2 * S, Traffic.steady(40));
            host.list(
                    EndpointUpdateKind.DELTA,
                    endpoint(id, EndpointPhase.GONE, 0),
                    endpoint(20 + id, EndpointPhase.READY, host.now()));
        }
        host.play(15 * S, Traffic.steady(40));
        host.list(
                EndpointUpdateKind.DELTA,
                endpoint(2, EndpointPhase.GONE, 0),
                endpoint(3, EndpointPhase.READY, 0),
                endpoint(3, EndpointPhase.GONE, 0));
        host.list(EndpointUpdateKind.FULL, ready(8));
        host.play(10 * S, Traffic.steady(60));
        assertEquals("2467 5764d3897326930e50ebbb15fbb27c5301783057343d3df63023395d803cb97f", host.result());
    }

    @Test
    public void replacementInTurnReleasesTheOldest() {
        SimulatedHost host = host(2, CHAT);
        long start = host.now() - 60 * S;
        Endpoint[] all = LongStream.rangeClosed(1, 14)
                .mapToObj(id -> endpoint(id, EndpointPhase.READY, start + id * S))
                .toArray(Endpoint[]::new);
        host.list(EndpointUpdateKind.FULL, all);
        host.play(20 * S, Traffic.steady(60));
        for (long id = 1; id <= 8; id++) {
            host.list(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.DRAINING, start + id * S));
            host.play(3 * S, Traffic.steady(60));
            host.list(
                    EndpointUpdateKind.DELTA,
                    endpoint(id, EndpointPhase.GONE, start + id * S),
                    endpoint(100 + id, EndpointPhase.READY, host.now()));
            host.behave(14, endpoint -> true, Behavior.healthy(100 * MS, (id < 5 ? 4 : 10) * MS));
        }
        host.play(12 * S, Traffic.steady(60));
        assertEquals("3408 08da3bc14613eb24936afe68b5eecd39e53a1685c6e39c21d64fcd59c31fbf14", host.result());
    }

    @Test
    public void restartsAndSlowStart() {
        SimulatedHost host = host(3, CHAT);
        Endpoint[] inSlowStart = LongStream.rangeClosed(1, 4)
                .mapToObj(id -> endpoint(id, EndpointPhase.READY, host.now() - id * S))
                .toArray(Endpoint[]::new);
        host.list(EndpointUpdateKind.CACHED, inSlowStart);
        host.play(6 * S, Traffic.steady(20));
        host.list(EndpointUpdateKind.FULL, ready(9));
        host.play(10 * S, Traffic.steady(30));
        for (long id = 1; id <= 9; id += 2) {
            host.list(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.GONE, 0));
            host.play(S, Traffic.steady(40));
            host.list(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.READY, host.now() - id * S));
            host.play(2 * S, Traffic.steady(40));
            host.list(
                    EndpointUpdateKind.DELTA,
                    endpoint(id, EndpointPhase.DRAINING, host.now()),
                    endpoint(id, EndpointPhase.READY, host.now()));
        }
        host.play(20 * S, Traffic.steady(50));
        assertEquals("3028 2c10ace1a7be6d14f99f5f917930d8cadcea5fc9918d2280566ee4b9e42df4e4", host.result());
    }

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
    public void overloadAndSlowStreams() {
        SimulatedHost host = host(6, CHAT, requestClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL));
        Traffic traffic = new Traffic(80, 40, 2000, 0, 2, 1, 0);
        host.list(EndpointUpdateKind.FULL, ready(6));
        host.play(8 * S, traffic);
        host.behave(6, id -> true, Behavior.healthy(900 * MS, 4 * MS));
        host.play(8 * S, traffic);
        host.behave(6, id -> true, Behavior.failing(AttemptOutcome.FULL, 0.6));
        host.play(6 * S, traffic);
        host.behave(6, id -> true, Behavior.healthy(100 * MS, 15 * MS));
        host.play(15 * S, traffic);
        host.behave(6, id -> true, Behavior.HEALTHY);
        host.play(15 * S, traffic);
        assertEquals("5110 ae102b84b074466fc7f9ef73bf71d3e55ba6ea0cd105d2da104898c9b98e0b25", host.result());
    }

    @Test
    public void idempotencyOfEveryKindAndScope() {
        RequestClass perToken = new RequestClass(
                Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 200 * MS, 0.5 * MS, 4 * S, 0, 2, 0.5, false);
        RequestClass shortWindow = new RequestClass(
                Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL, 50 * MS, S, 0, 4 * S, 0, 1, 0, true);
        SimulatedHost host = host(
                7,
                CHAT,
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL),
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ZONE),
                requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL),
                requestClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL),
                perToken,
                shortWindow);
        // Type 7 is one that the settings don't name.
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
    public void tenantsUnderOverload() {
        Tenant[] tenants = {new Tenant(0.6, 10), new Tenant(0.1, 10), new Tenant(0, 10)};
        SimulatedHost host = host(8, settings(CHAT).tenants(tenants));
        // Tenant 3 is one that the settings don't name.
        Traffic traffic = new Traffic(80, 40, 1000, 0, 1, 4, 0);
        host.list(EndpointUpdateKind.FULL, ready(6));
        host.play(6 * S, traffic);
        host.behave(6, id -> id != 2, Behavior.healthy(950 * MS, 6 * MS));
        host.play(15 * S, traffic);
        assertEquals("2143 bc2a6819684f2f6813ed4cc974082c0b6e8c7356501d9be9a0db506119945dd2", host.result());
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
    public void pushedListsOfEveryKind() {
        SimulatedHost host = host(10, CHAT);
        host.list(EndpointUpdateKind.CACHED);
        host.play(3 * S, Traffic.steady(20));
        host.list(EndpointUpdateKind.CACHED, ready(4));
        host.play(3 * S, Traffic.steady(40));
        for (EndpointUpdateKind kind : new EndpointUpdateKind[] {
            EndpointUpdateKind.FAILED, EndpointUpdateKind.THROTTLED, EndpointUpdateKind.TIMED_OUT
        }) {
            host.list(kind);
            host.play(S, Traffic.steady(40));
        }
        host.list(
                EndpointUpdateKind.FILTERED,
                endpoint(2, EndpointPhase.DRAINING, 0),
                endpoint(3, EndpointPhase.READY, 0).withCapacity(1));
        host.play(5 * S, Traffic.steady(40));
        host.list(
                EndpointUpdateKind.FILTERED,
                endpoint(2, EndpointPhase.READY, 0).withCapacity(2),
                endpoint(3, EndpointPhase.READY, 0));
        host.play(5 * S, Traffic.steady(40));
        host.list(EndpointUpdateKind.FULL, endpoint(9, EndpointPhase.READY, 0).withCapacity(0));
        host.play(3 * S, Traffic.steady(20));
        host.list(EndpointUpdateKind.FULL, ready(7));
        host.play(5 * S, Traffic.steady(40));
        assertEquals("2187 501288f6f4c2ede51bc08c07904d3e23edac5081a60ea37b06cdb162caf51a1a", host.result());
    }

    @Test
    public void listsThatHaveToBeAskedFor() {
        SimulatedHost host = host(11, settings(CHAT).discoveryMode(DiscoveryMode.WATCHED));
        host.listed = List.of(ready(6));
        host.discoveryAnswers.addAll(List.of(
                EndpointUpdateKind.FAILED,
                EndpointUpdateKind.THROTTLED,
                EndpointUpdateKind.TIMED_OUT,
                EndpointUpdateKind.FAILED,
                EndpointUpdateKind.FAILED,
                EndpointUpdateKind.FULL,
                EndpointUpdateKind.THROTTLED,
                EndpointUpdateKind.THROTTLED));
        host.list(EndpointUpdateKind.CACHED, ready(3));
        host.play(25 * S, Traffic.steady(20));
        host.list(EndpointUpdateKind.FILTERED, endpoint(2, EndpointPhase.DRAINING, 0));
        host.list(EndpointUpdateKind.FAILED);
        host.play(10 * S, Traffic.steady(20));
        host.handle(new TimerFired(0));
        host.list(EndpointUpdateKind.TIMED_OUT);
        host.handle(new TimerFired(0));
        host.play(10 * S, Traffic.steady(20));
        assertEquals("916 762cae830f3c2e9edb765c65811aecbadededda0ae4c7809ccc45d510a699cda", host.result());
    }

    @Test
    public void hotPrefixes() {
        SimulatedHost host = host(12, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(40));
        for (double hotPart : new double[] {0.05, 0.3, 0.8, 0}) {
            host.play(8 * S, new Traffic(100, 200, 500, hotPart, 1, 1, 0));
        }
        assertEquals("3234 04546968ced84cd4f0b7f976c03e545aa81cbe93d4a34d0a955e515b548dd6cc", host.result());
    }

    @Test
    public void keysThatStayInTheirZone() {
        SimulatedHost host = host(13, settings(CHAT).costs(CROSSING_COSTS));
        host.list(EndpointUpdateKind.FULL, ready(12));
        host.play(10 * S, Traffic.steady(60));
        host.behave(12, id -> id % 3 == 0, Behavior.failing(AttemptOutcome.CONNECT_FAILED, 0.6));
        host.play(6 * S, Traffic.steady(60));
        host.list(
                EndpointUpdateKind.FULL,
                endpoint(3, EndpointPhase.READY, host.now()),
                endpoint(6, EndpointPhase.READY, 0),
                endpoint(9, EndpointPhase.READY, 0));
        host.play(6 * S, Traffic.steady(40));
        host.list(EndpointUpdateKind.FULL, endpoint(1, EndpointPhase.READY, 0), endpoint(2, EndpointPhase.READY, 0));
        host.play(6 * S, Traffic.steady(20));
        assertEquals("2455 ca13dfc911a2874140f120aacc233319ee8fb4eb68e345fb9ec4ff508c12dfd8", host.result());
    }

    @Test
    public void saturationWidensTheBound() {
        SimulatedHost host = host(14, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(4));
        host.behave(4, id -> true, Behavior.healthy(100 * MS, 30 * MS));
        host.play(20 * S, new Traffic(30, 5, 6, 0, 1, 1, 0));
        host.behave(4, id -> true, Behavior.HEALTHY);
        host.play(20 * S, new Traffic(30, 5, 6, 0, 1, 1, 0));
        assertEquals("1189 34b173d181a4ae611e0b1a50c1901bfabb9f1f0c5603c0ccd0ceb64aba9a5d35", host.result());
    }

    @Test
    public void slowKindsAndSlowEndpoints() {
        SimulatedHost host = host(15, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(20));
        host.behave(20, id -> id % 2 == 1, Behavior.healthy(150 * MS, 9 * MS));
        host.play(20 * S, Traffic.steady(60));
        host.behave(20, id -> id == 4, Behavior.healthy(1500 * MS, 20 * MS));
        host.behave(20, id -> id == 5, Behavior.failing(AttemptOutcome.TIMEOUT, 1));
        host.play(15 * S, Traffic.steady(60));
        host.behave(20, id -> true, Behavior.healthy(600 * MS, 4 * MS));
        host.play(10 * S, Traffic.steady(60));
        assertEquals("2792 67acdf7204636fbe5174ae55c653756c1f8585f37367f023522a122b9d900fe2", host.result());
    }

    @Test
    public void malformedAndUnknownEvents() {
        SimulatedHost host = host(16, CHAT);
        host.list(EndpointUpdateKind.FULL, ready(6));
        double[] odd = {Double.NaN, Double.POSITIVE_INFINITY, -5, 0, 1e12};
        long id = 1_000_000;
        for (int round = 0; round < 40; round++) {
            for (double tokens : odd) {
                long expires = new long[] {0, -1, Long.MAX_VALUE, 50 * MS}[round % 4];
                host.arrive(new RequestArrived(
                        ++id,
                        round % 3 - 1,
                        round - 5,
                        round,
                        -round,
                        expires,
                        -3,
                        tokens,
                        tokens,
                        tokens,
                        true,
                        true,
                        true));
            }
            host.handle(new LoadBalancerEvent.AttemptEnded(id, 3, 1, AttemptOutcome.SERVED, true, 1, 0, List.of()));
            host.handle(new LoadBalancerEvent.ResponseStarted(id, 3, 1, 1));
            host.handle(new LoadBalancerEvent.AttemptEnded(5, 0, 1, AttemptOutcome.SERVED, true, 1, 0, List.of()));
            host.handle(new LoadBalancerEvent.ResponseStarted(5, 0, 1, 1));
            host.handle(new LoadBalancerEvent.ClientDisconnected(5));
            host.handle(new LoadBalancerEvent.PeerMessage(1, new byte[3]));
            host.handle(new LoadBalancerEvent.HealthChecked(1, AttemptOutcome.SERVED, 1, List.of(Double.NaN)));
            host.handle(new TimerFired(-7));
            host.play(100 * MS, Traffic.steady(100));
        }
        host.pass(10 * S);
        assertEquals("628 7a92c67b0653c3110297cd5e69925abcb0c9d67a96b3e37e6c6faf2bde20f89f", host.result());
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
