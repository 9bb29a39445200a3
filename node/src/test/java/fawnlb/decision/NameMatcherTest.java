package fawnlb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class NameMatcherTest {
    private static final List<String> NAMES = List.of("regina east", "b", "regina_east", "north,west");

    @Test
    void nameIsFoundAsItIsWritten() {
        for (int i = 0; i < NAMES.size(); i++) {
            assertEquals(i, NameMatcher.indexOf(NAMES, NAMES.get(i)));
        }
        assertEquals(NameMatcher.NOT_FOUND, NameMatcher.indexOf(NAMES, "B"));
        assertEquals(NameMatcher.NOT_FOUND, NameMatcher.indexOf(NAMES, ""));
        assertEquals(NameMatcher.NOT_FOUND, NameMatcher.indexOf(List.of(), "b"));
    }

    @Test
    void nameIsFoundInTheSimulatorsForm() {
        assertEquals(3, NameMatcher.indexOf(NAMES, "north_west"));
        assertEquals(1, NameMatcher.indexOf(List.of("a", "north_west"), "north west"));
    }

    @Test
    void formOfSeveralNamesIsThatOfNone() {
        assertEquals(NameMatcher.NOT_FOUND, NameMatcher.indexOf(NAMES, "regina,east"));
    }
}
