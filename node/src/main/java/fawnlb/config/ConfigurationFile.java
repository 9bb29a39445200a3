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

/** A JSON file of the operators', as paths with values; whatever is wrong with one is said in one line. */
final class ConfigurationFile {
    private final Path file;
    private final Map<String, String> values = new HashMap<>();
    private final Set<String> unreadSettings = new TreeSet<>();

    ConfigurationFile(Path file) throws ServerConfiguration.ConfigurationException {
        this.file = file;
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ServerConfiguration.ConfigurationException(file + ": not a JSON object");
            }
            JsonFlattener.flatten(parser, "", values);
        } catch (IOException e) {
            throw ServerConfiguration.ConfigurationException.unreadable(file, e);
        }
        unreadSettings.addAll(values.keySet());
    }

    /** The value as it stands, null if there is none. */
    String optionalText(String path) {
        unreadSettings.remove(path);
        return values.get(path);
    }

    String requiredText(String path) throws ServerConfiguration.ConfigurationException {
        String text = optionalText(path);
        if (text == null || text.isEmpty()) {
            throw invalid(path, "required");
        }
        return text;
    }

    List<String> readList(String path) {
        String text = optionalText(path);
        return text == null || text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    /** A whole number; {@code defaultValue} below 0 means that it is required. */
    long readNumber(String path, long defaultValue, long minimum, long maximum)
            throws ServerConfiguration.ConfigurationException {
        String text = optionalText(path);
        if (text == null && defaultValue >= 0) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text == null ? "" : text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, like one out of range.
        }
        throw invalid(
                path,
                "expected a whole number from " + minimum + " to " + maximum + ", found "
                        + (text == null ? "nothing" : "'" + text + "'"));
    }

    boolean readBoolean(String path, boolean defaultValue) throws ServerConfiguration.ConfigurationException {
        String text = optionalText(path);
        if (text == null || text.equals("true") || text.equals("false")) {
            return text == null ? defaultValue : text.equals("true");
        }
        throw invalid(path, "expected true or false, found '" + text + "'");
    }

    /** A word that is not a setting is a mistake that would go unnoticed for long. */
    void rejectUnknownSettings() throws ServerConfiguration.ConfigurationException {
        if (!unreadSettings.isEmpty()) {
            throw invalid(unreadSettings.iterator().next(), "no such setting");
        }
    }

    ServerConfiguration.ConfigurationException invalid(String path, String expected) {
        return new ServerConfiguration.ConfigurationException(file + ": " + path + ": " + expected);
    }
}
