package fawnlb.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads typed values from paths with texts. A value that is missing gets its default; so does one that cannot be read,
 * with a warning. It is used by one thread.
 */
final class SettingsReader {
    private final Map<String, SettingValue> values;
    private final List<String> warnings = new ArrayList<>();

    SettingsReader(Map<String, SettingValue> values) {
        this.values = Map.copyOf(values);
    }

    /** A line for each value that could not be read so far. */
    List<String> warnings() {
        return List.copyOf(warnings);
    }

    String readText(String path, String defaultValue) {
        SettingValue value = values.get(path);
        return value == null ? defaultValue : value.text();
    }

    /** The items of a list, none if it is missing. */
    List<String> readList(String path) {
        SettingValue value = values.get(path);
        return value == null ? List.of() : value.items();
    }

    /** A whole number of 0 or more; one that is too large counts as the largest. */
    int readInt(String path, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, readLong(path, defaultValue));
    }

    /** A whole number of 0 or more. */
    long readLong(String path, long defaultValue) {
        return readOrDefault(path, defaultValue, SettingsReader::parseLong);
    }

    /** A finite number of 0 or more. */
    double readDouble(String path, double defaultValue) {
        return readOrDefault(path, defaultValue, SettingsReader::parseDouble);
    }

    /** A list of finite numbers of 0 or more, separated by commas; none if it is missing. */
    List<Double> readDoubles(String path) {
        return readOrDefault(path, List.of(), SettingsReader::parseDoubles);
    }

    /** Whether the value is {@code true}; if it is missing, it is false. */
    boolean readBoolean(String path) {
        return readOrDefault(path, false, SettingsReader::parseBoolean);
    }

    /** The value that a word stands for, in upper or lower case. */
    <T> T readWord(String path, Map<String, T> valuesByWord, String defaultWord) {
        String word = readOrDefault(
                path,
                defaultWord,
                text -> valuesByWord.keySet().stream()
                        .filter(text::equalsIgnoreCase)
                        .findAny()
                        .orElse(null));
        return valuesByWord.get(word);
    }

    /** Parses a value. The parser returns null for a text that it cannot read. */
    private <T> T readOrDefault(String path, T defaultValue, Function<String, T> parser) {
        String text = readText(path, "");
        if (text.isEmpty()) {
            return defaultValue;
        }
        T value = parser.apply(text);
        if (value == null) {
            warnings.add("fawnlb: setting " + path + " cannot be read: '" + text + "'; using " + defaultValue);
            return defaultValue;
        }
        return value;
    }

    private static Long parseLong(String text) {
        try {
            long value = Long.parseLong(text);
            return value < 0 ? null : value;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static Double parseDouble(String text) {
        try {
            double value = Double.parseDouble(text);
            return !Double.isFinite(value) || value < 0 ? null : value;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static List<Double> parseDoubles(String text) {
        List<Double> values = new ArrayList<>();
        for (String item : text.split(",")) {
            Double value = parseDouble(item);
            if (value == null) {
                return null;
            }
            values.add(value);
        }
        return values;
    }

    private static Boolean parseBoolean(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> null;
        };
    }
}
