package fawnlb.lab.cli;

import fawnlb.lab.scenario.Scenario;
import java.util.List;

/**
 * A scenario of the command line.
 *
 * @param formerNames names that it had before and that still select it
 * @param purpose what it shows, in one sentence
 */
record NamedScenario(String name, List<String> formerNames, String purpose, Scenario scenario) {
    /** Returns whether the scenario has, or had, this name. */
    boolean matches(String candidate) {
        return name.equals(candidate) || formerNames.contains(candidate);
    }
}
