package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class RecentKeysTest {
    @Test
    public void workFractionsAreThoseOfTheMostRecentRequests() {
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
