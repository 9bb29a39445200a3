package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.Test;

public class HotKeySpreaderTest {
    private static final int ENDPOINTS = 40;
    private static final long PREFIX = 77;
    private final HotKeySpreader spreader = new HotKeySpreader();

    /** Records requests of which this many in a hundred have the prefix. */
    private void record(int requests, int percent) {
        for (int i = 0; i < requests; i++) {
            long prefix = i % 100 < percent ? PREFIX : 0;
            spreader.record(PolicyFixtures.request(1000 + i, prefix), ENDPOINTS);
        }
    }

    private Set<Long> ringKeys(int endpoints) {
        Set<Long> keys = new HashSet<>();
        for (long session = 1; session <= 500; session++) {
            keys.add(spreader.ringKey(PolicyFixtures.request(session, PREFIX), endpoints));
        }
        return keys;
    }

    @Test
    public void requestsWithoutPrefixAreTheirSession() {
        record(300, 100);
        assertEquals(5, spreader.ringKey(PolicyFixtures.request(5), ENDPOINTS));
    }

    @Test
    public void unseenAndRarePrefixesHaveOnePlace() {
        assertEquals(Set.of(PREFIX), ringKeys(ENDPOINTS));
        record(300, 0);
        spreader.record(PolicyFixtures.request(1, PREFIX), ENDPOINTS);
        assertEquals(Set.of(PREFIX), ringKeys(ENDPOINTS));
    }

    @Test
    public void placesGrowWithTheShareOfThePrefixAsPowersOfTwo() {
        record(300, 3);
        assertEquals(8, ringKeys(ENDPOINTS).size());
        assertTrue("the first place is the prefix itself", ringKeys(ENDPOINTS).contains(PREFIX));
    }

    @Test
    public void sessionsOfVeryHotPrefixesArePlacedEachByThemselves() {
        record(300, 80);
        assertEquals(500, ringKeys(ENDPOINTS).size());
        assertEquals(5, spreader.ringKey(PolicyFixtures.request(5, PREFIX), ENDPOINTS));
    }

    @Test
    public void sessionKeepsItsPlaceFromRequestToRequest() {
        record(300, 3);
        ActiveRequest request = PolicyFixtures.request(11, PREFIX);
        assertEquals(spreader.ringKey(request, ENDPOINTS), spreader.ringKey(request, ENDPOINTS));
    }
}
