package fawnlb.lab.soak;

import static org.junit.Assert.assertTrue;

import fawnlb.lab.scenario.RunLength;
import org.junit.Test;

/** A short soak on the node that was built; {@code docs/lab.md} says how to run a long one, and other seeds. */
public class SoakIT {
    @Test
    public void quickSoakKeepsAllRulesUnderOverlappingFaults() throws Exception {
        assertTrue(new Soak().run(1, RunLength.QUICK).print(System.out));
    }
}
