package fawnlb.lab.scenario;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** A short soak on the node that was built; {@code docs/lab.md} says how to play a long one, and other seeds. */
public class SoakIT {
    @Test
    public void quickSoakKeepsAllRulesUnderOverlappingFaults() throws Exception {
        assertTrue(new Soak().run(1, true).print(System.out));
    }
}
