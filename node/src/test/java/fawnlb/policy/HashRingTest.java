package fawnlb.policy;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.Test;

public class HashRingTest {
    private final SplittableRandom random = new SplittableRandom(5);
    private final HashRing<Long> ring = new HashRing<>(Comparator.naturalOrder());
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

    /** All points of these members are at the same positions, in an order that does not depend on who came first. */
    @Test
    public void membersOfOneSeedAreInTheSameOrderAtEachRing() {
        List<Long> order = orderAfterJoins(List.of(1L), List.of(2L), List.of(3L), List.of(4L));
        assertEquals(order, orderAfterJoins(List.of(4L, 3L, 2L, 1L)));
        assertEquals(order, orderAfterJoins(List.of(2L, 4L), List.of(3L, 1L)));
        Set<Long> firstOnes = new HashSet<>();
        for (int i = 0; i < order.size(); i += 4) {
            firstOnes.add(order.get(i));
        }
        assertEquals(Set.of(1L, 4L), firstOnes);
    }

    @SafeVarargs
    private static List<Long> orderAfterJoins(List<Long>... joins) {
        HashRing<Long> ring = new HashRing<>(Comparator.naturalOrder());
        for (List<Long> joined : joins) {
            ring.add(joined, id -> 9);
        }
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < ring.size(); i++) {
            order.add(ring.endpointAt(i));
        }
        return order;
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
}
