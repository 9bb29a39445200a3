package fawnlb.http;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class BodyMemoryBudgetTest {
    @Test
    public void failedReservationReservesNothing() {
        BodyMemoryBudget budget = new BodyMemoryBudget(10);
        assertTrue(budget.tryReserve(6));
        assertFalse(budget.tryReserve(5));
        assertTrue(budget.tryReserve(4));
        budget.release(6);
        assertTrue(budget.tryReserve(6));
        assertFalse(budget.tryReserve(1));
    }
}
