package fawnlb.lab.scenario;

/** A named experiment. */
public interface Scenario {
    String name();

    /** One sentence on what it shows. */
    String purpose();

    /** Plays it; progress goes to standard error. Quick: a shorter form, with the same claims. */
    ScenarioReport run(long seed, boolean quick) throws Exception;
}
