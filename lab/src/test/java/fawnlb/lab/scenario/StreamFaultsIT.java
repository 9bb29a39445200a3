package fawnlb.lab.scenario;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** A sample of the faults, drawn by a seed, on the node that was built. */
public class StreamFaultsIT {
    @Test
    public void sampledFaultsEndInOneClearFinalResponse() throws Exception {
        assertTrue(new StreamFaults().run(1, RunLength.QUICK).print(System.out));
    }
}
