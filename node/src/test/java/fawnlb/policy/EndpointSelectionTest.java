package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerSettings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Which endpoint a request goes to when nothing is wrong with any of them. */
class EndpointSelectionTest {
    private static final int KEYS = 2000;

    private static long[] primaryEndpoints(LoadBalancerHarness harness) {
        return LongStream.rangeClosed(1, KEYS).map(harness::primaryEndpoint).toArray();
    }

    private static int differing(long[] a, long[] b) {
        return (int)
                LongStream.range(0, KEYS).filter(i -> a[(int) i] != b[(int) i]).count();
    }

    @Test
    void selectionDoesNotDependOnTheOrderOfUpdates() {
        LoadBalancerHarness whole = LoadBalancerHarness.withEndpoints(12);
        LoadBalancerHarness bits = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings())
                .updateEndpoints(
                        EndpointUpdateKind.CACHED,
                        endpoint(9, EndpointPhase.READY, 0, 0),
                        endpoint(40, EndpointPhase.READY, 0, 0));
        for (long id : new long[] {12, 3, 7, 1, 2, 11, 5, 4, 10, 6, 8}) {
            bits.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(id, EndpointPhase.READY, 0, (int) (id % 3)));
        }
        bits.updateEndpoints(
                EndpointUpdateKind.DELTA,
                endpoint(40, EndpointPhase.GONE, 0, 0),
                endpoint(3, EndpointPhase.GONE, 0, 0));
        bits.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(3, EndpointPhase.READY, 0, 0));
        assertEquals(0, differing(primaryEndpoints(whole), primaryEndpoints(bits)));
    }

    @Test
    void joiningAndLeavingEndpointsMoveOnlyTheirOwnKeys() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(12);
        long[] before = primaryEndpoints(harness);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(99, EndpointPhase.READY, 0, 0));
        long[] joined = primaryEndpoints(harness);
        int moved = differing(before, joined);
        assertTrue(moved > KEYS / 13 / 2 && moved < KEYS / 13 * 2, "moved " + moved);
        for (int i = 0; i < KEYS; i++) {
            assertTrue(joined[i] == before[i] || joined[i] == 99);
        }
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(99, EndpointPhase.GONE, 0, 0));
        assertEquals(0, differing(before, primaryEndpoints(harness)));
    }

    @Test
    void leavingAndReturningWithinOneUpdateKeepsSelection() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(6);
        long[] before = primaryEndpoints(harness);
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA,
                endpoint(3, EndpointPhase.GONE, 0, 0),
                endpoint(3, EndpointPhase.READY, 0, 0));
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA,
                endpoint(70, EndpointPhase.READY, 0, 0),
                endpoint(70, EndpointPhase.GONE, 0, 0));
        assertEquals(0, differing(before, primaryEndpoints(harness)));
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(3, EndpointPhase.GONE, 0, 0));
        harness.updateEndpoints(EndpointUpdateKind.FULL, endpoint(5, EndpointPhase.READY, 0, 0));
        assertEquals(5, harness.primaryEndpoint(1));
    }

    @Test
    void boundIsFiveQuartersOfTheEvenShareRoundedUp() {
        assertEquals(1, LoadBound.bound(0, 4, LoadBound.UNWIDENED));
        assertEquals(1, LoadBound.bound(2, 4, LoadBound.UNWIDENED));
        assertEquals(2, LoadBound.bound(3, 4, LoadBound.UNWIDENED));
        assertEquals(5, LoadBound.bound(15, 4, LoadBound.UNWIDENED));
        assertEquals(6, LoadBound.bound(16, 4, LoadBound.UNWIDENED));
        assertEquals(2, LoadBound.bound(0, 0, LoadBound.UNWIDENED));
        assertEquals(10, LoadBound.bound(15, 4, 2 * LoadBound.UNWIDENED));
    }

    @Test
    void noEndpointExceedsTheBoundAndAHotKeySpreads() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(10);
        Map<Long, Integer> out = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            harness.arrive(5, 5);
            int count = out.merge(harness.lastAttempt().endpointId().ringSeed(), 1, Integer::sum);
            assertTrue(count <= Math.max(LoadBound.MIN_BOUND, LoadBound.bound(i, 10, LoadBound.MAX_WIDENING)));
        }
        assertTrue(out.size() >= 5, "used " + out.size());
    }

    @Test
    void drainingEndpointsReceiveNothingNew() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(3);
        long primary = harness.primaryEndpoint(77);
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA, endpoint(primary, EndpointPhase.DRAINING, 0, (int) (primary % 3)));
        assertNotEquals(primary, harness.primaryEndpoint(77));
        Set<Long> used = new HashSet<>();
        LongStream.range(1, 300).forEach(key -> used.add(harness.primaryEndpoint(key)));
        assertEquals(2, used.size());
    }

    @Test
    void firstPermittedEndpointIsUsedWhenAllAreAtTheBound() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(1);
        for (int i = 0; i < 50; i++) {
            harness.arrive(0, i + 1);
        }
        assertEquals(50, harness.startedAttempts().size());
    }

    @Test
    void requestsWithoutKeysSpreadByRequestId() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(10);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(harness.primaryEndpoint(0));
        }
        assertTrue(used.size() >= 8);
    }

    @Test
    void everyOutcomeLowersTheInFlightCount() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
            long primary = harness.primaryEndpoint(3);
            for (int i = 0; i < LoadBound.MIN_BOUND; i++) {
                harness.arrive(0, 3);
                assertEquals(primary, harness.lastAttempt().endpointId().ringSeed());
                harness.endAttempt(harness.lastAttempt(), 0, outcome, true);
                harness.now += 60 * LoadBalancerHarness.S;
            }
            assertEquals(primary, harness.primaryEndpoint(3), outcome.name());
        }
    }

    @Test
    void ownZoneIsPreferredForSomeKeysWhereCrossingCostsMore() {
        LoadBalancerHarness free = LoadBalancerHarness.withEndpoints(12);
        LoadBalancerHarness priced = new LoadBalancerHarness(new TestSettings()
                        .costs(new LoadBalancerSettings.Costs(0.08, 0.05))
                        .build())
                .withReadyEndpoints(12);
        long freeLocal =
                LongStream.of(primaryEndpoints(free)).filter(id -> id % 3 == 0).count();
        long pricedLocal = LongStream.of(primaryEndpoints(priced))
                .filter(id -> id % 3 == 0)
                .count();
        assertTrue(pricedLocal > freeLocal + KEYS / 10 && pricedLocal < KEYS * 2 / 3, freeLocal + " " + pricedLocal);
    }
}
