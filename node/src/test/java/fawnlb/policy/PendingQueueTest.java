package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.NOW;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.Test;

public class PendingQueueTest {
    private final PendingQueue queue = new PendingQueue(MS);
    private final ActiveRequest first = PolicyFixtures.request(1);
    private final ActiveRequest second = PolicyFixtures.request(2);

    @Test
    public void requestsAreTakenOnceInOrderEvenIfReadded() {
        queue.add(first);
        queue.add(second);
        List<ActiveRequest> taken = new ArrayList<>();
        queue.takeEach(request -> {
            taken.add(request);
            queue.add(request);
        });
        assertEquals(List.of(first, second), taken);
        assertEquals(2, queue.size());
    }

    @Test
    public void answeredRequestsAreDropped() {
        queue.add(first);
        queue.add(second);
        first.markAnswered();
        List<ActiveRequest> taken = new ArrayList<>();
        queue.takeEach(taken::add);
        assertEquals(List.of(second), taken);
        assertEquals(0, queue.size());
    }

    @Test
    public void timerIsSetOnceWhileRequestsWait() {
        assertEquals(OptionalLong.empty(), queue.armTimer(NOW));
        queue.add(first);
        assertEquals(OptionalLong.of(NOW + 5 * MS), queue.armTimer(NOW));
        assertEquals(OptionalLong.empty(), queue.armTimer(NOW + MS));
        queue.onTimerFired();
        assertEquals(OptionalLong.of(NOW + 10 * MS), queue.armTimer(NOW + 5 * MS));
    }

    @Test
    public void requestExpiresTenTicksBeforeItsTimeIsUp() {
        assertFalse(queue.isExpiring(first, first.lastUsefulAt - 10 * MS - 1));
        assertTrue(queue.isExpiring(first, first.lastUsefulAt - 10 * MS));
    }
}
