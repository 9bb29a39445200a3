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
final class OperatorFile {
    private final Path file;
    private final Map<String, String> pairs = new HashMap<>();
    private final Set<String> unread = new TreeSet<>();

    OperatorFile(Path file) throws NodeConfig.Bad {
        this.file = file;
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new NodeConfig.Bad(file + ": not a JSON object");
            }
            Flattener.flatten(in, "", pairs);
        } catch (IOException e) {
            throw NodeConfig.Bad.unreadable(file, e);
        }
        unread.addAll(pairs.keySet());
    }

    /** The value as it stands, null if there is none. */
    String value(String path) {
        unread.remove(path);
        return pairs.get(path);
    }

    String text(String path) throws NodeConfig.Bad {
        String text = value(path);
        if (text == null || text.isEmpty()) {
            throw bad(path, "required");
        }
        return text;
    }

    List<String> list(String path) {
        String text = value(path);
        return text == null || text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    /** A whole number; {@code missing} below 0 means that it is required. */
    long number(String path, long missing, long least, long most) throws NodeConfig.Bad {
        String text = value(path);
        if (text == null && missing >= 0) {
            return missing;
        }
        try {
            long value = Long.parseLong(text == null ? "" : text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, like one out of range.
        }
        throw bad(
                path,
                "expected a whole number from " + least + " to " + most + ", found "
                        + (text == null ? "nothing" : "'" + text + "'"));
    }

    boolean truth(String path, boolean missing) throws NodeConfig.Bad {
        String text = value(path);
        if (text == null || text.equals("true") || text.equals("false")) {
            return text == null ? missing : text.equals("true");
        }
        throw bad(path, "expected true or false, found '" + text + "'");
    }

    /** A word that is not a setting is a mistake that would go unnoticed for long. */
    void nothingElse() throws NodeConfig.Bad {
        if (!unread.isEmpty()) {
            throw bad(unread.iterator().next(), "no such setting");
        }
    }

    NodeConfig.Bad bad(String path, String why) {
        return new NodeConfig.Bad(file + ": " + path + ": " + why);
    }
}
