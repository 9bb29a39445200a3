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

/** Packages import one another in one direction only, and the core knows no wire. */
public class PackagesTest {
    private static final Path ROOT = Path.of("src/main/java");
    private static final Pattern IMPORT = Pattern.compile("(?m)^import (?:static )?([a-z0-9.]+)\\.[A-Z]");

    private static Map<String, Set<String>> importsByPackage() throws IOException {
        Map<String, Set<String>> found = new TreeMap<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String name = ROOT.relativize(file.getParent()).toString().replace('/', '.');
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                Set<String> to = found.computeIfAbsent(name, k -> new TreeSet<>());
                while (matcher.find()) {
                    to.add(matcher.group(1));
                }
                to.remove(name);
            }
        }
        return found;
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
        Map<String, Set<String>> graph = importsByPackage();
        List<String> cycles = new ArrayList<>();
        graph.keySet().forEach(name -> collectCycles(graph, name, new ArrayList<>(), cycles));
        assertEquals(List.of(), cycles);
        assertTrue(
                graph.containsKey("fawnlb.proxy") && graph.get("fawnlb.server").contains("fawnlb.proxy"));
    }

    @Test
    public void proxyAndMetricsImportNoIoPackages() throws IOException {
        for (String name : importsByPackage().get("fawnlb.proxy")) {
            assertTrue(
                    name,
                    name.startsWith("java.")
                            || Set.of("fawnlb.decision", "fawnlb.eventloop", "fawnlb.stream", "fawnlb.metrics")
                                    .contains(name));
        }
        assertTrue(
                "counts alone",
                importsByPackage().get("fawnlb.metrics").stream().allMatch(name -> name.startsWith("java.")));
    }
}
