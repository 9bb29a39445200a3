package fawnlb.client;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.ManualTimers;
import org.junit.Test;

public class RecentRequestIdsTest {
    private final ManualTimers timers = new ManualTimers(1);
    private final RecentRequestIds ids = new RecentRequestIds(timers);

    @Test
    public void idIsKnownUntilItsTimeIsOver() {
        ids.add("a");
        timers.advance(RecentRequestIds.RETENTION_NANOS - 1);
        ids.add("b");
        assertTrue(ids.contains("a"));
        assertFalse(ids.contains("c"));

        timers.advance(1);
        assertFalse(ids.contains("a"));
        assertTrue(ids.contains("b"));
    }

    /** Guards against memory that grows with ever new ids. */
    @Test
    public void oldestIdsAreForgottenBeyondTheLimit() {
        for (int i = 0; i <= RecentRequestIds.MAX_IDS; i++) {
            ids.add("id" + i);
        }
        assertFalse(ids.contains("id0"));
        assertTrue(ids.contains("id1"));

        ids.add("id1");
        ids.add("another");
        assertTrue("it has ended again since", ids.contains("id1"));
        assertFalse(ids.contains("id2"));
    }
}
