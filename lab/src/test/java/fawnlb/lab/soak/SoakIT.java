package fawnlb.lab.soak;

import static org.junit.Assert.assertTrue;

import fawnlb.lab.scenario.RunLength;
import org.junit.Test;

/** A short soak on the node that was built; {@code docs/lab.md} says how to run a long one, and other seeds. */
public class SoakIT {
    private static final int SEED = 1;
    /** A multiple of three. */
    private static final int SEED_WITH_CROWDS = 3;

    @Test
    public void quickSoakKeepsAllRulesUnderOverlappingFaults() throws Exception {
        assertTrue(new Soak().run(SEED, RunLength.QUICK).print(System.out));
    }

    @Test
    public void quickSoakWithCrowdsOfClientsKeepsAllRules() throws Exception {
        assertTrue(new Soak().run(SEED_WITH_CROWDS, RunLength.QUICK).print(System.out));
    }
}
