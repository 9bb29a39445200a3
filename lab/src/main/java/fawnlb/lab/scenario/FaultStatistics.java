package fawnlb.lab.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Outcomes of all requests of {@link StreamFaults}, and examples of those that must not occur. Not thread-safe. */
final class FaultStatistics {
    private static final int EXAMPLES_PER_VIOLATION = 3;

    private final Map<String, Map<String, Integer>> outcomesByFault = new TreeMap<>();
    private final Map<ResponseViolation, Integer> violations = new EnumMap<>(ResponseViolation.class);
    private final List<String> violationExamples = new ArrayList<>();
    private int faultyRequests;
    private int cleanRequests;

    void countFaulty(String fault, String outcome) {
        faultyRequests++;
        countOutcome(fault, outcome);
    }

    void countClean(String outcome) {
        cleanRequests++;
        countOutcome("none", outcome);
    }

    private void countOutcome(String fault, String outcome) {
        outcomesByFault.computeIfAbsent(fault, key -> new TreeMap<>()).merge(outcome, 1, Integer::sum);
    }

    void addViolation(ResponseViolation violation, String description) {
        int count = violations.merge(violation, 1, Integer::sum);
        if (count <= EXAMPLES_PER_VIOLATION) {
            violationExamples.add(violation.title() + ": " + description);
        }
    }

    int faultyRequests() {
        return faultyRequests;
    }

    int cleanRequests() {
        return cleanRequests;
    }

    int violationCount(ResponseViolation violation) {
        return violations.getOrDefault(violation, 0);
    }

    void print() {
        System.out.printf("%-45s %s%n", "fault and its position", "what the client received");
        outcomesByFault.forEach((fault, outcomes) -> System.out.printf("%-45s %s%n", fault, outcomes));
        violationExamples.forEach(System.out::println);
    }
}
