package fawnlb.membership;

import static org.junit.Assert.assertEquals;

import fawnlb.membership.SimulatedFleet.Scenario;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/**
 * A fleet, and a discovery that is hardly large enough for it. Retries that come too soon keep the service's queue
 * longer than a call may wait, so that no instance is answered any more.
 */
public class ThrottledDiscoveryTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final int SEEDS = 20;

    private static void assertAllAreAnsweredInTime(Scenario scenario) {
        List<String> late = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            late.addAll(SimulatedFleet.findLateInstances(scenario, seed));
        }
        assertEquals(scenario.toString(), List.of(), late);
    }

    @Test
    public void largeFleetIsAnsweredInTimeAfterOutageAndRestart() {
        assertAllAreAnsweredInTime(new Scenario(100, 68 * NANOS_PER_MILLISECOND, 0.7));
    }

    @Test
    public void largeFleetIsAnsweredInTimeAfterOutage() {
        assertAllAreAnsweredInTime(new Scenario(100, 50 * NANOS_PER_MILLISECOND, 0));
    }

    @Test
    public void smallFleetsAreAnsweredInTimeAfterOutageAndRestart() {
        for (int instanceCount : new int[] {1, 3, 8, 20}) {
            assertAllAreAnsweredInTime(new Scenario(instanceCount, 100 * NANOS_PER_MILLISECOND, 0.7));
        }
    }
}
