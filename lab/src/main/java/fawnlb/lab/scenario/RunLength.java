package fawnlb.lab.scenario;

/** How long a scenario runs. Both lengths have the same checks. */
public enum RunLength {
    /** The length whose results count. */
    FULL,
    /** A short run for CI and for trying a change. */
    QUICK;

    /** Returns the value for this length. */
    public int choose(int full, int quick) {
        return this == QUICK ? quick : full;
    }
}
