package fawnlb.decision;

import java.util.List;

/**
 * Finds a name among those of the settings. The simulator's settings have underscores in place of the spaces and commas
 * of a name, so a name that is not found as it is written is compared in that form.
 */
final class NameMatcher {
    static final int NOT_FOUND = -1;

    private NameMatcher() {}

    /**
     * Returns the index of a name, or {@link #NOT_FOUND}. A name that is not there as it is written, and whose
     * simulator's form is that of several, is not found.
     */
    static int indexOf(List<String> names, String name) {
        int exact = names.indexOf(name);
        return exact != NOT_FOUND ? exact : indexOfOnlyMatch(names, name);
    }

    private static int indexOfOnlyMatch(List<String> names, String name) {
        int found = NOT_FOUND;
        for (int i = 0; i < names.size(); i++) {
            if (haveSameSimulatorForm(names.get(i), name)) {
                if (found != NOT_FOUND) {
                    return NOT_FOUND;
                }
                found = i;
            }
        }
        return found;
    }

    private static boolean haveSameSimulatorForm(String first, String second) {
        if (first.length() != second.length()) {
            return false;
        }
        for (int i = 0; i < first.length(); i++) {
            if (simulatorForm(first.charAt(i)) != simulatorForm(second.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static char simulatorForm(char character) {
        return character == ' ' || character == ',' ? '_' : character;
    }
}
