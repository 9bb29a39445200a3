package fawnlb.lab.scenario;

import java.io.IOException;

/** An experiment against real nodes. The command line lists all of them by name. */
@FunctionalInterface
public interface Scenario {
    /**
     * Runs the scenario; progress goes to standard error.
     *
     * @param seed determines all that is random in the run
     * @throws IOException if a node fails or the testbed can't be set up
     */
    ScenarioReport run(long seed, RunLength length) throws IOException, InterruptedException;
}
