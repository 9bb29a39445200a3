package fawnlb.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import fawnlb.CapturedLog;
import fawnlb.decision.Endpoint;
import java.util.List;
import org.junit.jupiter.api.Test;

class NameNumbersTest {
    private static NameNumbers numbers(String... settingsNames) {
        List<String> names = List.of(settingsNames);
        return new NameNumbers("locality", names::indexOf, names.size());
    }

    @Test
    void namesOfTheSettingsHaveTheirIndex() {
        NameNumbers numbers = numbers("a", "b");
        assertEquals(1, numbers.numberOf("b"));
        assertEquals(0, numbers.numberOf("a"));
    }

    /** Endpoints of zones that the settings don't have were all taken for endpoints of the first zone. */
    @Test
    void otherNamesHaveNumbersOfTheirOwnThatStay() {
        NameNumbers numbers = numbers("a", "b");
        assertEquals(2, numbers.numberOf("c"));
        assertEquals(3, numbers.numberOf("d"));
        assertEquals(2, numbers.numberOf("c"));
        assertEquals(Endpoint.UNKNOWN, numbers.numberOf(""));
    }

    @Test
    void withoutNamesInTheSettingsNoneHasTheNumberOfTheOwnZone() {
        NameNumbers numbers = numbers();
        assertNotEquals(0, numbers.numberOf(""));
        assertNotEquals(Endpoint.UNKNOWN, numbers.numberOf(""));
        assertNotEquals(numbers.numberOf(""), numbers.numberOf("a"));
    }

    /** Guards against zones that are one because their names differ in spaces, commas and underscores alone. */
    @Test
    void namesThatMatchOneNameOfTheSettingsDoNotShareItsNumber() {
        NameNumbers numbers = new NameNumbers("locality", name -> name.matches("north.west") ? 0 : -1, 1);
        assertEquals(0, numbers.numberOf("north_west"));
        assertEquals(1, numbers.numberOf("north west"));
        assertEquals(2, numbers.numberOf("north,west"));
        assertEquals(0, numbers.numberOf("north_west"));
        assertEquals(1, numbers.numberOf("north west"));
    }

    @Test
    void tooManyOtherNamesAreNotRemembered() {
        NameNumbers numbers = numbers("a");
        for (int i = 0; i < NameNumbers.MAX_OTHER_NAMES; i++) {
            assertEquals(1 + i, numbers.numberOf("name-" + i));
        }
        assertEquals(Endpoint.UNKNOWN, numbers.numberOf("one more"));
        assertEquals(1, numbers.numberOf("name-0"));
    }

    @Test
    void otherNameIsLoggedOnce() {
        try (CapturedLog log = new CapturedLog(NameNumbers.class.getName())) {
            NameNumbers numbers = numbers("a");
            numbers.numberOf("regina east");
            numbers.numberOf("regina east");
            assertEquals(
                    List.of("listed name is not in the settings field=locality name=\"regina east\""), log.lines());
        }
    }
}
