package fawnlb;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.Test;

/** Which packages may import which, in the load balancer and in the lab. */
public class PackagesTest {
    private static final Path LOAD_BALANCER = Path.of("src/main/java");
    private static final Path LAB = Path.of("../lab/src/main/java");
    private static final Pattern IMPORT = Pattern.compile("(?m)^import (?:static )?([a-z0-9.]+)\\.[A-Z]");
    /** What decision code must not name, be it in an import or in full. */
    private static final Pattern NETWORK =
            Pattern.compile("\\b(?:org\\.xnio|io\\.undertow|java\\.net|java\\.nio\\.channels)\\b");

    private static final Set<String> DECISION_PACKAGES = Set.of(
            "fawnlb.decision",
            "fawnlb.policy",
            "fawnlb.membership",
            "fawnlb.filter",
            "fawnlb.restore",
            "fawnlb.stream",
            "fawnlb.memory");
    private static final Set<String> PACKAGES_BELOW_PROXY =
            Set.of("fawnlb.decision", "fawnlb.eventloop", "fawnlb.stream", "fawnlb.metrics");

    private static List<Path> sourceFiles(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static String packageOf(Path root, Path file) {
        return root.relativize(file.getParent()).toString().replace('/', '.');
    }

    private static Map<String, Set<String>> importsByPackage(Path... roots) throws IOException {
        Map<String, Set<String>> importsByPackage = new TreeMap<>();
        for (Path root : roots) {
            for (Path file : sourceFiles(root)) {
                String name = packageOf(root, file);
                Set<String> imports = importsByPackage.computeIfAbsent(name, key -> new TreeSet<>());
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                while (matcher.find()) {
                    imports.add(matcher.group(1));
                }
                imports.remove(name);
            }
        }
        return importsByPackage;
    }

    private static void collectCycles(
            Map<String, Set<String>> graph, String current, List<String> path, List<String> cycles) {
        if (path.contains(current)) {
            cycles.add(path.subList(path.indexOf(current), path.size()) + " -> " + current);
            return;
        }
        path.add(current);
        graph.getOrDefault(current, Set.of()).forEach(next -> collectCycles(graph, next, path, cycles));
        path.remove(path.size() - 1);
    }

    @Test
    public void packagesHaveNoImportCycles() throws IOException {
        Map<String, Set<String>> graph = importsByPackage(LOAD_BALANCER, LAB);

        List<String> cycles = new ArrayList<>();
        graph.keySet().forEach(name -> collectCycles(graph, name, new ArrayList<>(), cycles));

        assertEquals(List.of(), cycles);
        assertTrue(graph.get("fawnlb.server").contains("fawnlb.proxy"));
        assertTrue(
                "the lab's packages are found",
                graph.keySet().stream()
                                .filter(name -> name.startsWith("fawnlb.lab."))
                                .count()
                        > 5);
    }

    @Test
    public void loadBalancerImportsNothingOfTheLab() throws IOException {
        importsByPackage(LOAD_BALANCER)
                .forEach((name, imports) ->
                        assertTrue(name, imports.stream().noneMatch(imported -> imported.startsWith("fawnlb.lab"))));
    }

    @Test
    public void proxyAndMetricsImportNoIoPackages() throws IOException {
        Map<String, Set<String>> imports = importsByPackage(LOAD_BALANCER);
        for (String name : imports.get("fawnlb.proxy")) {
            assertTrue(name, name.startsWith("java.") || PACKAGES_BELOW_PROXY.contains(name));
        }
        assertTrue(
                "metrics depend on nothing",
                imports.get("fawnlb.metrics").stream().allMatch(name -> name.startsWith("java.")));
    }

    /**
     * Decisions are made from events and a given time, so that tests and the simulator can play them without sockets.
     */
    @Test
    public void decisionCodeNamesNoNetworkPackage() throws IOException {
        Set<String> checked = new TreeSet<>();
        List<String> offenders = new ArrayList<>();
        for (Path file : sourceFiles(LOAD_BALANCER)) {
            String name = packageOf(LOAD_BALANCER, file);
            if (DECISION_PACKAGES.contains(name)) {
                checked.add(name);
                if (NETWORK.matcher(Files.readString(file)).find()) {
                    offenders.add(file.toString());
                }
            }
        }
        assertEquals(new TreeSet<>(DECISION_PACKAGES), checked);
        assertEquals(List.of(), offenders);
    }

    @Test
    public void decisionPackagesImportOnlyOneAnotherAndMetrics() throws IOException {
        Map<String, Set<String>> imports = importsByPackage(LOAD_BALANCER);
        for (String decisionPackage : DECISION_PACKAGES) {
            for (String imported : imports.get(decisionPackage)) {
                assertTrue(
                        decisionPackage + " imports " + imported,
                        !imported.startsWith("fawnlb.")
                                || imported.equals("fawnlb.metrics")
                                || DECISION_PACKAGES.contains(imported));
            }
        }
    }
}
