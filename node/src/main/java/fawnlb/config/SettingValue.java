package fawnlb.config;

import java.util.List;

/**
 * The value of one setting: a single text, or a list of texts. Items may hold any character, commas included.
 *
 * @param text the single text, or the items joined with commas
 * @param items the items of the list; a single text is a list of one item, and an empty one a list without items
 */
record SettingValue(String text, List<String> items) {
    private static final String SEPARATOR = ",";

    /** A value that was written as a single text. */
    static SettingValue ofText(String text) {
        return new SettingValue(text, text.isEmpty() ? List.of() : List.of(text));
    }

    /** A value that was written as a list. */
    static SettingValue ofItems(List<String> items) {
        return new SettingValue(String.join(SEPARATOR, items), List.copyOf(items));
    }

    /** A value in the simulator's form, in which only commas tell a list from a single text. */
    static SettingValue ofCommaSeparated(String text) {
        return new SettingValue(text, text.isEmpty() ? List.of() : List.of(text.split(SEPARATOR)));
    }
}
