package fawnlb.server;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class DescriptorBudgetTest {
    @Test
    public void thirdOfTheDescriptorsIsForBackendsAndTheRestButTheReserveForClients() {
        DescriptorBudget budget = new DescriptorBudget(1024);

        assertEquals(341, budget.maxBackendConnections());
        assertEquals(635, budget.maxClientConnections());
    }

    @Test
    public void smallestPermittedBudgetLeavesConnectionsForClients() {
        assertTrue(new DescriptorBudget(96).maxClientConnections() > 0);
    }
}
