package fawnlb.lab.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The figures of a scenario, each beside its bound. */
public final class ScenarioReport {
    private final List<String> failedChecks = new ArrayList<>();
    private final List<String> rows = new ArrayList<>();

    /** A figure that must hold. */
    public void addCheck(String name, String measured, String limit, boolean passed) {
        rows.add(String.format("%-62s %18s   %-16s %s", name, measured, limit, passed ? "held" : "fell short"));
        if (!passed) {
            failedChecks.add(name);
        }
    }

    /** A figure that is told and not judged. */
    public void addMeasurement(String name, String measured) {
        rows.add(String.format("%-62s %18s", name, measured));
    }

    /** Prints the table, and last {@code held} or {@code fell short: ...}; whether all held. */
    public boolean print(PrintStream out) {
        out.println(String.format("%-62s %18s   %-16s", "figure", "measured", "bound"));
        rows.forEach(out::println);
        out.println(failedChecks.isEmpty() ? "held" : "fell short: " + String.join("; ", failedChecks));
        return failedChecks.isEmpty();
    }
}
