package fawnlb.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds the decision module to the size that its readers were promised. */
class LimitsTest {
    @Test
    void thePolicyStaysShortAndNarrow() throws IOException {
        List<String> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(Path.of("src/main/java/fawnlb/policy"))) {
            for (Path file : files.toList()) {
                lines.addAll(Files.readAllLines(file));
            }
        }
        assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 850);
        assertEquals(List.of(), lines.stream().filter(line -> line.length() > 110).toList());
    }
}
