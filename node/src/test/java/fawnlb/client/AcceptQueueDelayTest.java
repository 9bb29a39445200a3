package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class AcceptQueueDelayTest {
    private static final int BACKLOG = 10;
    /** Reads of the clock move it on. */
    private static final long TOLERANCE_NANOS = 100;

    private final TickingTimers timers = new TickingTimers();
    private final AcceptQueueDelay delay = new AcceptQueueDelay(BACKLOG, timers);

    @Test
    public void connectionHasWaitedSinceTheQueueWasNotEmptied() {
        assertEquals(0, delay.onAccepted());
        delay.onQueueNotEmptied();
        timers.advance(5000);
        assertEquals(5000, delay.onAccepted(), TOLERANCE_NANOS);
        delay.onQueueEmpty();
        timers.advance(5000);
        assertEquals(0, delay.onAccepted());
    }

    /** Guards against requests that count as late since others have kept the queue from being empty for long. */
    @Test
    public void connectionHasNotWaitedForMoreAcceptsThanTheQueueHolds() {
        delay.onQueueNotEmptied();
        for (int i = 0; i < 20 * BACKLOG; i++) {
            timers.advance(1000);
            long waitedNanos = delay.onAccepted();
            assertTrue("waited " + waitedNanos, waitedNanos <= (BACKLOG + 1) * 1000 + TOLERANCE_NANOS);
        }
        assertEquals((BACKLOG + 1) * 1000, delay.onAccepted(), 1000 + TOLERANCE_NANOS);
    }
}
