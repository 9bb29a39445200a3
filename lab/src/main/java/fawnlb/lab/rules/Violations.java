package fawnlb.lab.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The violations that were found, as text by rule. Belongs to the checker, under its lock. */
final class Violations {
    private final Map<Rule, List<String>> byRule = new TreeMap<>();

    void add(Rule rule, String description) {
        byRule.computeIfAbsent(rule, key -> new ArrayList<>()).add(description);
    }

    /** Returns a copy of the violations by rule; a rule that was kept is absent. */
    Map<Rule, List<String>> byRule() {
        return new TreeMap<>(byRule);
    }

    int count(Rule rule) {
        return byRule.getOrDefault(rule, List.of()).size();
    }

    int count() {
        return byRule.values().stream().mapToInt(List::size).sum();
    }
}
