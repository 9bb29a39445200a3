package fawnlb.contract;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

public class BudgetTest {
    @Test
    public void requestsAndTokensAreLimitedPerWindow() {
        Budget budget = new Budget(3, 100, 60);
        long[][] cases = {{0, 50, 0}, {10, 60, 50}, {10, 50, 0}, {20, 0, 0}, {59, 0, 1}, {60, 100, 0}, {61, 1, 59}};
        for (long[] row : cases) {
            assertEquals("at " + row[0], row[2], budget.reserve(row[0], row[1]));
        }
        assertTrue(budget.fitsWindow(100));
        assertFalse(budget.fitsWindow(101));
    }

    @Test
    public void unusedTokensAreReturnedWithinTheirWindow() {
        Budget budget = new Budget(9, 100, 60);
        assertEquals(0, budget.reserve(0, 100));
        budget.settle(0, 100, 30);
        assertEquals(0, budget.reserve(1, 70));
        assertEquals(0, budget.reserve(60, 100));
        budget.settle(1, 70, 0);
        assertEquals(59, budget.reserve(61, 1));
    }

    @Test
    public void contractIsFoundByKeyAndNamesTheViolation() {
        Contract contract = new Contract("t", "secret", "", List.of("a"), List.of("m"), 1, new Budget(1, 1, 1));
        Contracts contracts = new Contracts(List.of(contract));
        assertEquals(contract, contracts.findByKey("secret"));
        assertNull(contracts.findByKey("secreT"));
        assertNull(contracts.findByKey(null));
        assertNull(contract.violation("a", "m"));
        assertTrue(contract.violation("b", "m").contains("class 'b'"));
        assertTrue(contract.violation("a", "n").contains("model 'n'"));
    }
}
