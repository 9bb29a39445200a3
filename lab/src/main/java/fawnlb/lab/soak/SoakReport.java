package fawnlb.lab.soak;

import fawnlb.lab.load.LoadStatistics;
import fawnlb.lab.node.NodeProcess;
import fawnlb.lab.rules.Rule;
import fawnlb.lab.scenario.ScenarioReport;
import fawnlb.lab.testbed.Directories;
import fawnlb.lab.testbed.Testbed;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Creates the report of a soak, and prints the details where a check has failed. */
final class SoakReport {
    /** Lines of a node's log that tell of a fault of the node itself. */
    private static final Pattern LOGGED_FAILURE =
            Pattern.compile("(?m)^.*(SEVERE|Exception|invariant|had no answer at its deadline).*$");

    private static final int LINES_PER_LOG = 3;
    private static final int CASES_PER_RULE = 5;

    private final Testbed testbed;
    private final SoakLog log;
    private final NodeFaults nodeFaults;

    SoakReport(Testbed testbed, SoakLog log, NodeFaults nodeFaults) {
        this.testbed = testbed;
        this.log = log;
        this.nodeFaults = nodeFaults;
    }

    /** Creates the report after the end of all nodes. */
    ScenarioReport create(LoadStatistics statistics, long seed) throws IOException {
        List<String> loggedFailures = findLoggedFailures();
        Map<Rule, List<String>> violations = testbed.rules().violations();
        ScenarioReport report = new ScenarioReport();
        for (Rule rule : Rule.values()) {
            report.addZeroCheck(
                    "rule " + rule, violations.getOrDefault(rule, List.of()).size());
        }
        report.addZeroCheck(
                "shutdowns, readiness and partial requests", log.failures().size());
        report.addZeroCheck("failures in the nodes' logs", loggedFailures.size());
        addPeakMemory(report);
        addMeasurements(report, statistics, seed);
        if (!violations.isEmpty() || !log.failures().isEmpty() || !loggedFailures.isEmpty()) {
            printDetails(violations, loggedFailures);
            copyLogs();
        }
        return report;
    }

    private void addPeakMemory(ScenarioReport report) {
        long peakMemoryMegabytes = log.peakMemoryBytes() >> 20;
        report.addCheck(
                "peak memory of a node, MB",
                Long.toString(peakMemoryMegabytes),
                Integer.toString(NodeProcess.MEMORY_LIMIT_MEGABYTES),
                peakMemoryMegabytes <= NodeProcess.MEMORY_LIMIT_MEGABYTES);
    }

    private void addMeasurements(ScenarioReport report, LoadStatistics statistics, long seed) {
        report.addMeasurement(
                "seed, nodes, faults",
                seed + ", " + testbed.nodes().size() + ", " + log.faults().size());
        report.addMeasurement(
                "responses without progress, written slowly", testbed.rules().progressTotals());
        report.addMeasurement("responses around shutdowns by status", log.shutdownTotals());
        report.addMeasurement("turns", statistics.outcomeTotals().toString());
        report.addMeasurement(
                "system calls that failed",
                nodeFaults.hasShims() ? Long.toString(nodeFaults.failedSystemCalls()) : "none: no C compiler");
    }

    private List<String> findLoggedFailures() throws IOException {
        List<String> failures = new ArrayList<>();
        for (NodeProcess node : testbed.nodes()) {
            LOGGED_FAILURE
                    .matcher(node.readLog())
                    .results()
                    .limit(LINES_PER_LOG)
                    .forEach(line -> failures.add(node.name() + ": " + line.group()));
        }
        return failures;
    }

    private void printDetails(Map<Rule, List<String>> violations, List<String> loggedFailures) {
        violations.forEach((rule, cases) ->
                cases.stream().limit(CASES_PER_RULE).forEach(line -> System.out.println(rule + ": " + line)));
        log.failures().forEach(System.out::println);
        loggedFailures.forEach(System.out::println);
        log.faults().forEach(System.out::println);
    }

    /** Copies the nodes' files to the directory that the system property {@code lab.logs} names, if it is set. */
    private void copyLogs() throws IOException {
        String target = System.getProperty("lab.logs");
        if (target != null) {
            Directories.copyFiles(testbed.directory(), Path.of(target));
        }
    }
}
