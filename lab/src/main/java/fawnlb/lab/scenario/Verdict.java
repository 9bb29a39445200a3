package fawnlb.lab.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The figures of a scenario, each beside its bound. */
public final class Verdict {
    private final List<String> misses = new ArrayList<>();
    private final List<String> rows = new ArrayList<>();

    /** A figure that must hold. */
    public void claim(String what, String figure, String bound, boolean holds) {
        rows.add(String.format("%-62s %18s   %-16s %s", what, figure, bound, holds ? "held" : "fell short"));
        if (!holds) {
            misses.add(what);
        }
    }

    /** A figure that is told and not judged. */
    public void figure(String what, String figure) {
        rows.add(String.format("%-62s %18s", what, figure));
    }

    /** Prints the table, and last {@code held} or {@code fell short: ...}; whether all held. */
    public boolean print(PrintStream out) {
        out.println(String.format("%-62s %18s   %-16s", "figure", "measured", "bound"));
        rows.forEach(out::println);
        out.println(misses.isEmpty() ? "held" : "fell short: " + String.join("; ", misses));
        return misses.isEmpty();
    }
}
