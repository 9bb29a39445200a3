package fawnlb.policy;

import static fawnlb.policy.Rig.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.Balancer;
import fawnlb.decision.Balancer.ListKind;
import fawnlb.decision.Balancer.Outcome;
import fawnlb.decision.Balancer.Phase;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class RingTest {
    private static final int KEYS = 2000;

    private static long[] homes(Rig rig) {
        return LongStream.rangeClosed(1, KEYS).map(rig::home).toArray();
    }

    private static int differing(long[] a, long[] b) {
        return (int)
                LongStream.range(0, KEYS).filter(i -> a[(int) i] != b[(int) i]).count();
    }

    @Test
    void theRingDoesNotDependOnHowTheListCame() {
        Rig whole = new Rig(Rig.safe()).ready(12);
        Rig bits = new Rig(Rig.safe())
                .list(ListKind.CACHED, replica(9, Phase.READY, 0, 0), replica(40, Phase.READY, 0, 0));
        for (long id : new long[] {12, 3, 7, 1, 2, 11, 5, 4, 10, 6, 8}) {
            bits.list(ListKind.DELTA, replica(id, Phase.READY, 0, (int) (id % 3)));
        }
        bits.list(ListKind.DELTA, replica(40, Phase.GONE, 0, 0), replica(3, Phase.GONE, 0, 0));
        bits.list(ListKind.DELTA, replica(3, Phase.READY, 0, 0));
        assertEquals(0, differing(homes(whole), homes(bits)));
    }

    @Test
    void joiningAndLeavingMoveOnlyTheirOwnKeys() {
        Rig rig = new Rig(Rig.safe()).ready(12);
        long[] before = homes(rig);
        rig.list(ListKind.DELTA, replica(99, Phase.READY, 0, 0));
        long[] joined = homes(rig);
        int moved = differing(before, joined);
        assertTrue(moved > KEYS / 13 / 2 && moved < KEYS / 13 * 2, "moved " + moved);
        for (int i = 0; i < KEYS; i++) {
            assertTrue(joined[i] == before[i] || joined[i] == 99);
        }
        rig.list(ListKind.DELTA, replica(99, Phase.GONE, 0, 0));
        assertEquals(0, differing(before, homes(rig)));
    }

    @Test
    void leavingAndReturningWithinOneChangeKeepsTheRing() {
        Rig rig = new Rig(Rig.safe()).ready(6);
        long[] before = homes(rig);
        rig.list(ListKind.DELTA, replica(3, Phase.GONE, 0, 0), replica(3, Phase.READY, 0, 0));
        rig.list(ListKind.DELTA, replica(70, Phase.READY, 0, 0), replica(70, Phase.GONE, 0, 0));
        assertEquals(0, differing(before, homes(rig)));
        rig.list(ListKind.DELTA, replica(3, Phase.GONE, 0, 0));
        rig.list(ListKind.FULL, replica(5, Phase.READY, 0, 0));
        assertEquals(5, rig.home(1));
    }

    @Test
    void capIsTheCeilingOfFiveQuartersOfTheEvenPart() {
        assertEquals(1, Choice.cap(0, 4, Choice.NARROW));
        assertEquals(1, Choice.cap(2, 4, Choice.NARROW));
        assertEquals(2, Choice.cap(3, 4, Choice.NARROW));
        assertEquals(5, Choice.cap(15, 4, Choice.NARROW));
        assertEquals(6, Choice.cap(16, 4, Choice.NARROW));
        assertEquals(2, Choice.cap(0, 0, Choice.NARROW));
        assertEquals(10, Choice.cap(15, 4, 2 * Choice.NARROW));
    }

    @Test
    void noReplicaGoesOverTheCapAndAHotKeySpreads() {
        Rig rig = new Rig(Rig.safe()).ready(10);
        Map<Long, Integer> out = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            rig.request(5, 5);
            int count = out.merge(rig.last().replica(), 1, Integer::sum);
            assertTrue(count <= Math.max(Choice.QUIET_CAP, Choice.cap(i, 10, Choice.WIDEST)));
        }
        assertTrue(out.size() >= 5, "used " + out.size());
    }

    @Test
    void walksPastDrainingReplicas() {
        Rig rig = new Rig(Rig.safe()).ready(3);
        long home = rig.home(77);
        rig.list(ListKind.DELTA, replica(home, Phase.DRAINING, 0, (int) (home % 3)));
        assertNotEquals(home, rig.home(77));
        Set<Long> used = new HashSet<>();
        LongStream.range(1, 300).forEach(key -> used.add(rig.home(key)));
        assertEquals(2, used.size());
    }

    @Test
    void whenNothingIsBelowTheCapTheFirstPermittedReplicaTakesIt() {
        Rig rig = new Rig(Rig.safe()).ready(1);
        for (int i = 0; i < 50; i++) {
            rig.request(0, i + 1);
        }
        assertEquals(50, rig.sends().size());
    }

    @Test
    void aRequestWithoutAnyKeyIsSpreadById() {
        Rig rig = new Rig(Rig.safe()).ready(10);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(rig.home(0));
        }
        assertTrue(used.size() >= 8);
    }

    @Test
    void everyEndingLowersTheCount() {
        for (Outcome outcome : Outcome.values()) {
            Rig rig = new Rig(Rig.safe()).ready(5);
            long home = rig.home(3);
            for (int i = 0; i < Choice.QUIET_CAP; i++) {
                rig.request(0, 3);
                assertEquals(home, rig.last().replica());
                rig.end(rig.last(), 0, outcome, true);
                rig.now += 60 * Rig.S;
            }
            assertEquals(home, rig.home(3), outcome.name());
        }
    }

    @Test
    void zoneIsPreferredOnlyForAPartOfTheKeysAndOnlyWhereCrossingCostsMore() {
        Rig free = new Rig(Rig.safe()).ready(12);
        Rig priced = new Rig(Rig.settings(
                        Balancer.Effect.SAFE,
                        Balancer.Group.ALL,
                        Balancer.Discovery.PUSHED,
                        new Balancer.Costs(0.08, 0.05)))
                .ready(12);
        long freeNear = LongStream.of(homes(free)).filter(id -> id % 3 == 0).count();
        long pricedNear = LongStream.of(homes(priced)).filter(id -> id % 3 == 0).count();
        assertTrue(pricedNear > freeNear + KEYS / 10 && pricedNear < KEYS * 2 / 3, freeNear + " " + pricedNear);
    }
}
