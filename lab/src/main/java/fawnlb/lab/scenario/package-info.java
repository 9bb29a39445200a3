/**
 * The experiments, which the command line lists by name, and what their reports are made of.
 *
 * <p>A scenario sets a {@code Testbed} up, runs on its caller's thread and returns a
 * {@link fawnlb.lab.scenario.ScenarioReport}. The command line and integration tests run them.
 */
package fawnlb.lab.scenario;
