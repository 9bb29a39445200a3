package fawnlb.memory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class MemoryBudgetTest {
    private static final long CAPACITY = 1000;
    private static final long RESPONSES = 200;
    private static final long LARGE = 100 << 10;

    private final List<String> events = new ArrayList<>();
    private final MemoryBudget budget = budget(CAPACITY, RESPONSES);
    private final MemoryReservation body = budget.open(MemoryUse.REQUEST_BODIES);
    private final MemoryReservation response = budget.open(MemoryUse.RESPONSES);

    private MemoryBudget budget(long capacityBytes, long responseBytes) {
        return new MemoryBudget(capacityBytes, responseBytes, new MemoryObserver() {
            @Override
            public void onRefused(MemoryUse use, long requestedBytes) {
                events.add("refused " + use.label() + ' ' + requestedBytes);
            }

            @Override
            public void onReclaimed(MemoryUse use) {
                events.add("reclaimed for " + use.label());
            }
        });
    }

    @Test
    public void refusedReservationReservesNothing() {
        assertTrue(body.tryResize(600));
        assertFalse(body.tryResize(801));

        assertEquals(600, body.bytes());
        assertEquals(600, budget.reservedBytes(MemoryUse.REQUEST_BODIES));
        assertEquals(List.of("refused request_bodies 201"), events);
        assertTrue(body.tryResize(800));
    }

    @Test
    public void allUsesShareTheCapacity() {
        budget.open(MemoryUse.ENDPOINTS).resize(300);
        assertTrue(budget.open(MemoryUse.REQUEST_HEADS).tryResize(200));
        assertTrue(budget.open(MemoryUse.REQUESTS).tryResize(200));

        assertFalse(body.tryResize(101));
        assertTrue(body.tryResize(100));
    }

    @Test
    public void responsesAlwaysGetMemoryAndUseUpTheirOwnPartFirst() {
        response.resize(RESPONSES);
        assertTrue(body.tryResize(800));
        assertFalse(budget.isExceeded());

        response.resize(RESPONSES + 1);
        assertTrue(budget.isExceeded());

        response.release();
        body.resize(500);
        response.resize(RESPONSES + 150);
        assertFalse("what responses use beyond their part is not there for requests", body.tryResize(651));
        assertTrue(body.tryResize(650));
    }

    @Test
    public void releasedReservationCanBeUsedAgain() {
        assertTrue(body.tryResize(800));
        body.release();
        body.release();

        assertEquals(0, budget.reservedBytes(MemoryUse.REQUEST_BODIES));
        assertTrue(body.tryResize(800));
    }

    @Test
    public void reclaimersAreAskedInOrderUntilTheReservationFits() {
        MemoryReservation worst = budget.open(MemoryUse.REQUEST_HEADS);
        MemoryReservation next = budget.open(MemoryUse.REQUEST_BODIES);
        budget.addReclaimer(() -> releaseIfHeld(worst, "head"));
        budget.addReclaimer(() -> releaseIfHeld(next, "body"));
        worst.resize(300);
        next.resize(400);

        assertTrue(body.tryResize(500));
        assertEquals(List.of("head", "reclaimed for request_bodies", "body", "reclaimed for request_bodies"), events);

        assertFalse(body.tryResize(801));
    }

    private boolean releaseIfHeld(MemoryReservation reservation, String name) {
        if (reservation.bytes() == 0) {
            return false;
        }
        events.add(name);
        reservation.release();
        return true;
    }

    /** A reclaimer may read a connection, whose request may then need memory itself. */
    @Test
    public void reservationDuringReclaimIsRefusedInsteadOfReclaimingAgain() {
        MemoryReservation nested = budget.open(MemoryUse.REQUESTS);
        budget.addReclaimer(() -> {
            events.add("reclaimer");
            assertFalse(nested.tryResize(800));
            return false;
        });
        assertTrue(body.tryResize(700));

        assertFalse(budget.open(MemoryUse.REQUEST_HEADS).tryResize(101));
        assertEquals(List.of("reclaimer", "refused requests 800", "refused request_heads 101"), events);
    }

    @Test
    public void largeReservationsLeaveRoomForSmallOnes() {
        MemoryBudget large = budget(10 * LARGE, 0);
        int granted = 0;
        while (large.open(MemoryUse.REQUEST_BODIES).tryResize(LARGE)) {
            granted++;
        }
        assertEquals(7, granted);
        assertTrue(large.open(MemoryUse.REQUESTS).tryResize(LARGE / 10));
    }
}
