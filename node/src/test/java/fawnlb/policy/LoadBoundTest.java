package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class LoadBoundTest {
    private final LoadBound bound = new LoadBound();

    @Test
    public void limitIsFiveQuartersOfTheEvenShareAndTwoAtLeast() {
        assertEquals(2, bound.limit(0, 4));
        assertEquals(6, bound.limit(16, 4));
        assertEquals(125, bound.limit(399, 4));
        assertEquals("no endpoint counts as one", 2, bound.limit(0, 0));
    }

    @Test
    public void limitWidensUpToFourfoldWhileRequestsSpill() {
        long before = bound.limit(399, 4);
        for (int i = 0; i < 50; i++) {
            bound.recordSpilled();
        }
        long widened = bound.limit(399, 4);
        for (int i = 0; i < 1000; i++) {
            bound.recordSpilled();
        }
        assertTrue(widened > before);
        assertEquals(4 * before, bound.limit(399, 4));
    }

    @Test
    public void limitNarrowsWhenFewRequestsSpill() {
        long before = bound.limit(399, 4);
        for (int i = 0; i < 1000; i++) {
            bound.recordSpilled();
        }
        for (int i = 0; i < 1000; i++) {
            bound.recordPlaced();
        }
        assertEquals(before, bound.limit(399, 4));
    }

    @Test
    public void spillBelowTheThresholdDoesNotWiden() {
        long before = bound.limit(399, 4);
        for (int i = 0; i < 1000; i++) {
            if (i % 20 == 0) {
                bound.recordSpilled();
            } else {
                bound.recordPlaced();
            }
            assertEquals(before, bound.limit(399, 4));
        }
    }
}
