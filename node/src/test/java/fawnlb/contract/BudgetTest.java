package fawnlb.contract;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.contract.Budget.Reservation;
import java.util.List;
import org.junit.Test;

public class BudgetTest {
    private static final long WINDOW_NANOS = 60;

    /** A request at a time, and how long it must wait. */
    private record Request(long atNanos, long tokens, long expectedWaitNanos) {}

    @Test
    public void requestsAndTokensAreLimitedPerWindow() {
        Budget budget = new Budget(3, 100, WINDOW_NANOS);
        List<Request> requests = List.of(
                new Request(0, 50, 0),
                new Request(10, 60, 50),
                new Request(10, 50, 0),
                new Request(20, 0, 0),
                new Request(59, 0, 1),
                new Request(60, 100, 0),
                new Request(61, 1, 59));

        for (Request request : requests) {
            Reservation reservation = budget.reserve(request.atNanos(), request.tokens());

            assertEquals(request.toString(), request.expectedWaitNanos(), reservation.waitNanos());
            assertEquals(request.toString(), request.expectedWaitNanos() == 0, reservation.isGranted());
        }
    }

    @Test
    public void requestLargerThanWindowNeverFits() {
        Budget budget = new Budget(3, 100, WINDOW_NANOS);

        assertTrue(budget.fitsWindow(100));
        assertFalse(budget.fitsWindow(101));
        assertFalse(new Budget(0, 100, WINDOW_NANOS).fitsWindow(1));
    }

    @Test
    public void unusedTokensAreReturnedWithinTheirWindow() {
        Budget budget = new Budget(9, 100, WINDOW_NANOS);
        Reservation first = budget.reserve(0, 100);

        budget.settle(first, 30);

        assertTrue(first.isGranted());
        assertTrue(budget.reserve(1, 70).isGranted());
        assertFalse(budget.reserve(2, 1).isGranted());
    }

    @Test
    public void unusedTokensAreNotReturnedToLaterWindow() {
        Budget budget = new Budget(9, 100, WINDOW_NANOS);
        budget.reserve(0, 30);
        Reservation earlier = budget.reserve(1, 70);
        assertTrue(budget.reserve(60, 100).isGranted());

        budget.settle(earlier, 0);

        assertEquals(59, budget.reserve(61, 1).waitNanos());
    }
}
