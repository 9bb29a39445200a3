package fawnlb.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds the decision module to its rules: small files with narrow lines that decide, without I/O, clock or threads. */
class DecisionModuleConstraintsTest {
    private static final int MAX_WIDTH = 120;
    private static final int MAX_CLASS_LINES = 300;
    private static final int MAX_LOAD_BALANCER_LINES = 250;
    private static final Pattern FORBIDDEN = Pattern.compile(
            "import java\\.(io|net|nio|time|util\\.concurrent)"
                    + "|System\\.(nanoTime|currentTimeMillis|in|out|err|getenv|getProperty)|new Thread|Math\\.random|java\\.util\\.Random");

    private static List<String> linesOf(String... packages) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String name : packages) {
            try (Stream<Path> files = Files.list(Path.of("src/main/java/fawnlb", name))) {
                for (Path file : files.toList()) {
                    lines.addAll(Files.readAllLines(file));
                }
            }
        }
        return lines;
    }

    @Test
    void policyLinesStayWithinTheWidth() throws IOException {
        List<String> lines = linesOf("policy");
        assertTrue(lines.size() > 500);
        assertEquals(
                List.of(),
                lines.stream().filter(line -> line.length() > MAX_WIDTH).toList());
    }

    @Test
    void policyClassesStaySmall() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/fawnlb/policy"))) {
            for (Path file : files.toList()) {
                boolean isLoadBalancer = file.endsWith("BoundedLoadBalancer.java");
                int allowed = isLoadBalancer ? MAX_LOAD_BALANCER_LINES : MAX_CLASS_LINES;
                long lines = Files.readAllLines(file).stream()
                        .filter(line -> !line.isBlank())
                        .count();
                assertTrue(lines <= allowed, file + " has " + lines + " lines");
            }
        }
    }

    @Test
    void decisionModulesUseNoClockAndNoInputOrOutput() throws IOException {
        List<String> lines = linesOf("policy", "membership", "restore", "filter", "stream");
        assertEquals(
                List.of(),
                lines.stream().filter(line -> FORBIDDEN.matcher(line).find()).toList());
    }
}
