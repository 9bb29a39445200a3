package fawnlb.lab.scenario;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The results of a scenario: checks, each beside its limit, and measurements without one. Not thread-safe. */
public final class ScenarioReport {
    private static final String CHECK_FORMAT = "%-62s %18s   %-16s %s";
    private static final String MEASUREMENT_FORMAT = "%-62s %18s";

    private final List<String> failedChecks = new ArrayList<>();
    private final List<String> rows = new ArrayList<>();

    /** Adds a result that must be within its limit. */
    public void addCheck(String name, String measured, String limit, boolean passed) {
        rows.add(String.format(CHECK_FORMAT, name, measured, limit, passed ? "held" : "fell short"));
        if (!passed) {
            failedChecks.add(name);
        }
    }

    /** Adds a count that must be zero. */
    public void addZeroCheck(String name, long count) {
        addCheck(name, Long.toString(count), "0", count == 0);
    }

    /** Adds a result that is not judged. */
    public void addMeasurement(String name, String measured) {
        rows.add(String.format(MEASUREMENT_FORMAT, name, measured));
    }

    /** Prints the table and a last line {@code held} or {@code fell short: ...}; returns whether all checks passed. */
    public boolean print(PrintStream out) {
        out.println(
                String.format(CHECK_FORMAT, "result", "measured", "limit", "").stripTrailing());
        rows.forEach(out::println);
        out.println(failedChecks.isEmpty() ? "held" : "fell short: " + String.join("; ", failedChecks));
        return failedChecks.isEmpty();
    }
}
