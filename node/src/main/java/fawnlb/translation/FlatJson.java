package fawnlb.translation;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The scalar values of one JSON object by their paths, such as {@code choices.0.delta.content}. A parsed document is
 * immutable. The limits keep the map in proportion to the document, because each path repeats the names of all
 * enclosing objects.
 */
final class FlatJson {
    private static final int MAX_DEPTH = 32;
    private static final int MAX_PATH_LENGTH = 512;
    private static final int MAX_VALUES = 20_000;

    /** Scalars as text; a JSON null has no entry. */
    private final Map<String, String> scalars = new HashMap<>();
    /** Number of elements of each array; 0 for each object. */
    private final Map<String, Integer> elementCounts = new HashMap<>();

    private FlatJson() {}

    /**
     * Returns whether a text begins as a JSON object does. An unnamed event that does is one of the dialect, perhaps
     * with a part of the answer, and malformed if it can't be read; any other one is of a kind that is not known.
     */
    static boolean beginsObject(String text) {
        return text.stripLeading().startsWith("{");
    }

    static FlatJson parse(byte[] json) throws MalformedJsonException {
        try (JsonParser parser = JsonText.FACTORY.createParser(json)) {
            return parse(parser);
        } catch (MalformedJsonException e) {
            throw e;
        } catch (IOException e) {
            throw new MalformedJsonException(e.getMessage(), e);
        }
    }

    static FlatJson parse(String json) throws MalformedJsonException {
        try (JsonParser parser = JsonText.FACTORY.createParser(json)) {
            return parse(parser);
        } catch (MalformedJsonException e) {
            throw e;
        } catch (IOException e) {
            throw new MalformedJsonException(e.getMessage(), e);
        }
    }

    private static FlatJson parse(JsonParser parser) throws IOException {
        FlatJson document = new FlatJson();
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedJsonException("not a JSON object");
        }
        document.readValue(parser, "", 0);
        if (parser.nextToken() != null) {
            throw new MalformedJsonException("more than one JSON object");
        }
        return document;
    }

    private void readValue(JsonParser parser, String path, int depth) throws IOException {
        if (depth > MAX_DEPTH
                || path.length() > MAX_PATH_LENGTH
                || scalars.size() + elementCounts.size() > MAX_VALUES) {
            throw new MalformedJsonException("JSON too deep, too wide or with names too long");
        }
        if (parser.currentToken() == null) {
            throw new MalformedJsonException("JSON ends early");
        }
        switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path, depth);
            case START_ARRAY -> readArray(parser, path, depth);
            case VALUE_NULL -> {}
            default -> scalars.put(path, parser.getText());
        }
    }

    private void readObject(JsonParser parser, String path, int depth) throws IOException {
        elementCounts.put(path, 0);
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            readValue(parser, path.isEmpty() ? name : path + '.' + name, depth + 1);
        }
    }

    private void readArray(JsonParser parser, String path, int depth) throws IOException {
        int index = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            readValue(parser, path + '.' + index++, depth + 1);
        }
        elementCounts.put(path, index);
    }

    /** Returns the scalar at a path as text, or null if there is none. */
    String text(String path) {
        return scalars.get(path);
    }

    String text(String path, String defaultValue) {
        return scalars.getOrDefault(path, defaultValue);
    }

    /** Returns whether the path holds an object, an array or a scalar other than null. */
    boolean has(String path) {
        return scalars.containsKey(path) || elementCounts.containsKey(path);
    }

    /** Returns the number of elements of the array at a path, 0 if there is no array. */
    int arraySize(String path) {
        return elementCounts.getOrDefault(path, 0);
    }

    /** Returns the whole number at a path, 0 if it is missing, negative or not a whole number. */
    long nonNegativeLong(String path) {
        try {
            return Math.max(0, Long.parseLong(scalars.getOrDefault(path, "0")));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
