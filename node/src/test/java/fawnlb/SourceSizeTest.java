package fawnlb;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;

/** Holds the files of both modules to sizes that a reader can take in; a class that outgrows them has a second job. */
public class SourceSizeTest {
    private static final int MAX_PRODUCTION_LINES = 300;
    private static final int MAX_TEST_LINES = 400;
    private static final List<Path> MODULES = List.of(Path.of("../node"), Path.of("../lab"));

    private static long nonBlankLines(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> !line.isBlank()).count();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void assertNoFileOver(int maxLines, String sourceRoot) throws IOException {
        for (Path module : MODULES) {
            try (Stream<Path> files = Files.walk(module.resolve(sourceRoot))) {
                List<Path> sources =
                        files.filter(file -> file.toString().endsWith(".java")).toList();
                assertTrue(module.toString(), sources.size() > 5);
                assertEquals(
                        List.of(),
                        sources.stream()
                                .filter(file -> nonBlankLines(file) > maxLines)
                                .toList());
            }
        }
    }

    @Test
    public void productionFilesHaveAtMost300NonBlankLines() throws IOException {
        assertNoFileOver(MAX_PRODUCTION_LINES, "src/main/java");
    }

    @Test
    public void testFilesHaveAtMost400NonBlankLines() throws IOException {
        assertNoFileOver(MAX_TEST_LINES, "src/test/java");
    }
}
