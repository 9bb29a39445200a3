package fawnlb.translation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The plain values of one JSON document by path: {@code choices.0.delta.content}. The bodies met here are bounded and
 * shallow, so a map of them is small.
 */
final class FlatJson {
    static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final int MAX_DEPTH = 32;
    private static final int MAX_PATH_LENGTH = 512;
    private static final int MAX_VALUES = 20_000;

    private final Map<String, String> scalars = new HashMap<>();
    private final Map<String, Integer> elementCounts = new HashMap<>();

    private FlatJson() {}

    static FlatJson parse(byte[] json) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            return parse(parser);
        }
    }

    static FlatJson parse(String json) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            return parse(parser);
        }
    }

    private static FlatJson parse(JsonParser parser) throws IOException {
        FlatJson document = new FlatJson();
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a JSON object");
        }
        document.readValue(parser, "", 0);
        if (parser.nextToken() != null) {
            throw new IOException("more than one JSON object");
        }
        return document;
    }

    private void readValue(JsonParser parser, String path, int depth) throws IOException {
        // A path repeats the names above it: long ones over many values would cost far more than the body.
        if (depth > MAX_DEPTH
                || path.length() > MAX_PATH_LENGTH
                || scalars.size() + elementCounts.size() > MAX_VALUES) {
            throw new IOException("JSON too deep, too wide or with names too long");
        }
        if (parser.currentToken() == null) {
            throw new IOException("JSON ends early");
        }
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                elementCounts.put(path, 0);
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    readValue(parser, path.isEmpty() ? name : path + '.' + name, depth + 1);
                }
            }
            case START_ARRAY -> {
                int index = 0;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    readValue(parser, path + '.' + index++, depth + 1);
                }
                elementCounts.put(path, index);
            }
            case VALUE_NULL -> {}
            default -> scalars.put(path, parser.getText());
        }
    }

    /** A plain value as text, null if missing. */
    String text(String path) {
        return scalars.get(path);
    }

    String text(String path, String defaultValue) {
        return scalars.getOrDefault(path, defaultValue);
    }

    /** Whether there is an object, an array or a plain value. */
    boolean has(String path) {
        return scalars.containsKey(path) || elementCounts.containsKey(path);
    }

    /** Items of an array. */
    int arraySize(String path) {
        return elementCounts.getOrDefault(path, 0);
    }

    long nonNegativeLong(String path) {
        try {
            return Math.max(0, Long.parseLong(scalars.getOrDefault(path, "0")));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
