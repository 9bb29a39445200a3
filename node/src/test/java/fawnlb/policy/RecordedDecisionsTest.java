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
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import fawnlb.policy.SimulatedHost.Behavior;
import fawnlb.policy.SimulatedHost.Traffic;
import java.util.List;
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
}
