package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.Test;

public class HashRingTest {
    private final SplittableRandom random = new SplittableRandom(5);
    private final HashRing<Long> ring = new HashRing<>();
    private final Set<Long> members = new HashSet<>();

    private void add(int count) {
        List<Long> joined = random.longs(count).boxed().toList();
        ring.add(joined, id -> id);
        members.addAll(joined);
    }

    private void remove(double part) {
        Set<Long> gone = new HashSet<>();
        members.stream().filter(id -> random.nextDouble() < part).forEach(gone::add);
        ring.removeIf(gone::contains);
        members.removeAll(gone);
    }

    /**
     * As the paper has it: the points of all members in a sorted map, and the first one at or behind the key's hash.
     */
    private void assertSameAsSortedMap() {
        TreeMap<Long, Long> expected = new TreeMap<>();
        for (long id : members) {
            for (int i = 0; i < HashRing.POINTS_PER_ENDPOINT; i++) {
                expected.put(SplitMix64.mix(SplitMix64.mix(id) + i), id);
            }
        }
        assertEquals(expected.size(), ring.size());
        for (int i = 0; i < 500; i++) {
            long key = random.nextLong();
            var at = expected.ceilingEntry(SplitMix64.mix(key));
            assertEquals(
                    (at == null ? expected.firstEntry() : at).getValue(), ring.endpointAt(ring.firstIndexFor(key)));
        }
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < ring.size(); i++) {
            order.add(ring.endpointAt(i));
        }
        assertEquals(List.copyOf(expected.values()), order);
    }

    @Test
    public void joinsAndDeparturesKeepTheOrderOfASortedMap() {
        add(1);
        assertSameAsSortedMap();
        add(60);
        assertSameAsSortedMap();
        for (int i = 0; i < 8; i++) {
            remove(0.3);
            assertSameAsSortedMap();
            add(1 + random.nextInt(30));
            assertSameAsSortedMap();
        }
        remove(1);
        assertEquals(0, ring.size());
        add(2);
        assertSameAsSortedMap();
    }

    @Test
    public void upperMedianMatchesSortedValues() {
        for (int count = 1; count < 200; count++) {
            double[] values = random.doubles(count).map(x -> Math.floor(x * 20)).toArray();
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            assertEquals(sorted[count / 2], OrderStatistics.upperMedian(Arrays.copyOf(values, count + 3), count), 0);
        }
    }

    @Test
    public void recentKeysSumTheWorkOfTheLastRequests() {
        RecentKeys recent = new RecentKeys();
        for (int i = 0; i < 1000; i++) {
            recent.add(i % 4, 1 + i % 4, 400);
        }
        assertEquals(400, recent.size());
        assertEquals(0.1, recent.workFraction(0), 1e-9);
        assertEquals(0.4, recent.workFraction(3), 1e-9);
        for (int i = 0; i < 400; i++) {
            recent.add(9, 1, 400);
        }
        assertEquals(1, recent.workFraction(9), 1e-9);
        assertTrue(recent.contains(9) && !recent.contains(3));
    }
}
