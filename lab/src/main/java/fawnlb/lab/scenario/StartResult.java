package fawnlb.lab.scenario;

import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.rules.Rule;
import java.util.List;
import java.util.Map;

/** The result of one case of {@link StartWithoutDiscovery}. */
record StartResult(
        StartCase startCase, LoadStatistics statistics, int collapsedBackends, Map<Rule, List<String>> violations) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MAX_FIRST_EVENT_SECONDS = 2;
    private static final int MAX_RECOVERY_SECONDS = 10;
    /** Part of the service level with discovery that counts as recovered. */
    private static final double RECOVERED_LEVEL = 0.9;
    /** Seconds for which the recovered level has to last. */
    private static final int RECOVERY_WINDOW_SECONDS = 3;

    /** Returns the part of the turns begun in the outage that was served in time. */
    double servedShare(int outageSeconds) {
        return statistics.servedShare(0, outageSeconds);
    }

    /** Returns the first second from which three in a row reach the level, -1 if none does before the end. */
    private int firstSecondAtLevel(double level, int endSecond) {
        for (int second = 0; second + RECOVERY_WINDOW_SECONDS <= endSecond; second++) {
            if (statistics.servedShare(second, second + RECOVERY_WINDOW_SECONDS) >= level) {
                return second;
            }
        }
        return -1;
    }

    /** Prints the outcomes of each second and all violations. */
    void print() {
        System.out.println(startCase.description());
        statistics.formatTable().forEach(System.out::println);
        if (!violations.isEmpty()) {
            System.out.println(startCase.description() + ": " + violations);
        }
    }

    /**
     * Adds the figures of this case; those of a restored list are checked.
     *
     * @param normalLevel served share with discovery available
     */
    void addTo(ScenarioReport report, double normalLevel, int outageSeconds) {
        addFirstEvent(report);
        addRecovery(report, firstSecondAtLevel(RECOVERED_LEVEL * normalLevel, outageSeconds), outageSeconds);
        String collapsed = startCase.description() + ": backends collapsed";
        if (startCase.isChecked()) {
            report.addZeroCheck(collapsed, collapsedBackends);
            report.addZeroCheck(
                    startCase.description() + ": rule violations",
                    violations.values().stream().mapToInt(List::size).sum());
        } else {
            report.addMeasurement(collapsed, Integer.toString(collapsedBackends));
        }
        report.addMeasurement(
                startCase.description() + ": served share while discovery is down",
                String.format("%.3f", servedShare(outageSeconds)));
        report.addMeasurement(
                startCase.description() + ": first event after first attempt, median and p99",
                String.format("%.2f s  %.2f s", firstEventSeconds(50), firstEventSeconds(99)));
    }

    private double firstEventSeconds(double percentile) {
        return statistics.firstEventMicros().getValueAtPercentile(percentile) / MICROS_PER_SECOND;
    }

    private void addFirstEvent(ScenarioReport report) {
        boolean served = statistics.firstEventNanos() >= 0;
        double seconds = statistics.firstEventNanos() / NANOS_PER_SECOND;
        String name = startCase.description() + ": first event served after process start";
        String measured = served ? String.format("%.2f s", seconds) : "never";
        if (startCase.isChecked()) {
            report.addCheck(name, measured, "within 2 s", served && seconds <= MAX_FIRST_EVENT_SECONDS);
        } else {
            report.addMeasurement(name, measured);
        }
    }

    private void addRecovery(ScenarioReport report, int recoveredAtSecond, int outageSeconds) {
        boolean recovered = recoveredAtSecond >= 0;
        String name = startCase.description() + ": 90% of the normal level from";
        String measured = recovered ? recoveredAtSecond + " s" : "not in " + outageSeconds + " s";
        if (startCase.isChecked()) {
            report.addCheck(name, measured, "within 10 s", recovered && recoveredAtSecond <= MAX_RECOVERY_SECONDS);
        } else {
            report.addMeasurement(name, measured);
        }
    }
}
