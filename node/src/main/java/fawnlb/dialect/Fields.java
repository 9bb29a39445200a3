package fawnlb.dialect;

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
final class Fields {
    static final JsonFactory JSON = new JsonFactory();
    private static final int DEEPEST = 32;
    private static final int MAX_PATH_LENGTH = 512;
    private static final int MAX_VALUES = 20_000;

    private final Map<String, String> values = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();

    private Fields() {}

    static Fields parse(byte[] json) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            return parse(in);
        }
    }

    static Fields parse(String json) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            return parse(in);
        }
    }

    private static Fields parse(JsonParser in) throws IOException {
        Fields fields = new Fields();
        if (in.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a JSON object");
        }
        fields.read(in, "", 0);
        if (in.nextToken() != null) {
            throw new IOException("more than one JSON object");
        }
        return fields;
    }

    private void read(JsonParser in, String path, int depth) throws IOException {
        // A path repeats the names above it: long ones over many values would cost far more than the body.
        if (depth > DEEPEST || path.length() > MAX_PATH_LENGTH || values.size() + sizes.size() > MAX_VALUES) {
            throw new IOException("JSON too deep, too wide or with names too long");
        }
        if (in.currentToken() == null) {
            throw new IOException("JSON ends early");
        }
        switch (in.currentToken()) {
            case START_OBJECT -> {
                sizes.put(path, 0);
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    read(in, path.isEmpty() ? name : path + '.' + name, depth + 1);
                }
            }
            case START_ARRAY -> {
                int n = 0;
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    read(in, path + '.' + n++, depth + 1);
                }
                sizes.put(path, n);
            }
            case VALUE_NULL -> {}
            default -> values.put(path, in.getText());
        }
    }

    /** A plain value as text, null if missing. */
    String text(String path) {
        return values.get(path);
    }

    String text(String path, String missing) {
        return values.getOrDefault(path, missing);
    }

    /** Whether there is an object, an array or a plain value. */
    boolean has(String path) {
        return values.containsKey(path) || sizes.containsKey(path);
    }

    /** Items of an array. */
    int size(String path) {
        return sizes.getOrDefault(path, 0);
    }

    long whole(String path) {
        try {
            return Math.max(0, Long.parseLong(values.getOrDefault(path, "0")));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
