package fawnlb.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A JSON file of settings, read as paths with values: {@code {"admin":{"listen":"x"}}} holds {@code admin.listen}. It
 * remembers which settings were read, so that misspelled ones can be rejected. It is used by one thread.
 */
final class ConfigurationFile {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Path file;
    private final Map<String, SettingValue> values;
    private final Set<String> unreadSettings;

    private ConfigurationFile(Path file, Map<String, SettingValue> values) {
        this.file = file;
        this.values = values;
        this.unreadSettings = new TreeSet<>(values.keySet());
    }

    /**
     * Reads a file.
     *
     * @throws ConfigurationException if the file cannot be read, or holds no JSON object
     */
    static ConfigurationFile read(Path file) throws ConfigurationException {
        Map<String, SettingValue> values = new HashMap<>();
        try (JsonParser parser = openObject(file)) {
            JsonFlattener.flatten(parser, "", values);
        } catch (IOException e) {
            throw ConfigurationException.unreadable(file, e);
        }
        return new ConfigurationFile(file, values);
    }

    /**
     * Reads a file into memory and opens the JSON object that it holds.
     *
     * @return a parser at the object's first token
     * @throws ConfigurationException if the file holds something else
     * @throws IOException if the file cannot be read, or is not JSON
     */
    static JsonParser openObject(Path file) throws ConfigurationException, IOException {
        JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file));
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException(file, null, "not a JSON object");
        }
        return parser;
    }

    /** A file without settings, of which only defaults can be read. */
    static ConfigurationFile empty() {
        return new ConfigurationFile(null, Map.of());
    }

    /** The value of a setting, null if there is none. */
    String optionalText(String path) {
        SettingValue value = take(path);
        return value == null ? null : value.text();
    }

    /** The value of a setting that must be there and not be empty. */
    String requiredText(String path) throws ConfigurationException {
        String text = optionalText(path);
        if (text == null || text.isEmpty()) {
            throw invalid(path, "required");
        }
        return text;
    }

    /** The values of a list, none if it is not there. */
    List<String> readList(String path) {
        SettingValue value = take(path);
        return value == null ? List.of() : value.items();
    }

    /** Returns a value, null if there is none, and notes that it has been read. */
    private SettingValue take(String path) {
        unreadSettings.remove(path);
        return values.get(path);
    }

    /** A whole number that must be there. */
    long requiredNumber(String path, long minimum, long maximum) throws ConfigurationException {
        return parseNumber(path, optionalText(path), minimum, maximum);
    }

    /** A whole number. The default need not lie between the minimum and the maximum. */
    long optionalNumber(String path, long defaultValue, long minimum, long maximum) throws ConfigurationException {
        String text = optionalText(path);
        return text == null ? defaultValue : parseNumber(path, text, minimum, maximum);
    }

    /** The nanoseconds of a time that must be there, and that the file gives in milliseconds. */
    long requiredMillisAsNanos(String path, long minimumMillis, long maximumMillis) throws ConfigurationException {
        return requiredNumber(path, minimumMillis, maximumMillis) * NANOS_PER_MILLI;
    }

    /** The nanoseconds of a time that the file gives in milliseconds. */
    long optionalMillisAsNanos(String path, long defaultMillis, long minimumMillis, long maximumMillis)
            throws ConfigurationException {
        return optionalNumber(path, defaultMillis, minimumMillis, maximumMillis) * NANOS_PER_MILLI;
    }

    private long parseNumber(String path, String text, long minimum, long maximum) throws ConfigurationException {
        try {
            long value = Long.parseLong(text == null ? "" : text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number out of range.
        }
        String found = text == null ? "nothing" : "'" + text + "'";
        throw invalid(path, "expected a whole number from " + minimum + " to " + maximum + ", found " + found);
    }

    boolean readBoolean(String path, boolean defaultValue) throws ConfigurationException {
        String text = optionalText(path);
        if (text == null) {
            return defaultValue;
        }
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw invalid(path, "expected true or false, found '" + text + "'");
        };
    }

    /**
     * Rejects the file if it holds a setting that nobody has read. It is called when all settings have been read, since
     * a misspelled one would go unnoticed for long.
     */
    void rejectUnknownSettings() throws ConfigurationException {
        if (!unreadSettings.isEmpty()) {
            throw invalid(unreadSettings.iterator().next(), "no such setting");
        }
    }

    /** An exception that names this file, for a setting with an invalid value. */
    ConfigurationException invalid(String path, String expected) {
        return new ConfigurationException(file, path, expected);
    }
}
