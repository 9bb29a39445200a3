package fawnlb;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Holds the decision module to the size that its readers were promised. */
class LimitsTest {
    @Test
    void choiceStaysShortAndNarrow() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/fawnlb/Choice.java"));
        assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 850);
        assertEquals(List.of(), lines.stream().filter(line -> line.length() > 110).toList());
    }
}
