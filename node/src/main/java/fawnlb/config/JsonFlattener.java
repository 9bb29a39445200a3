package fawnlb.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Flattens nested JSON settings to the paths of the simulator's pairs: a list of plain values is joined with commas; a
 * list of objects puts its length under {@code .count} and its items under {@code .0}, {@code .1}.
 */
final class JsonFlattener {
    private JsonFlattener() {}

    /** Flattens the value that the parser stands at. */
    static void flatten(JsonParser parser, String path, Map<String, String> settings) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path.isEmpty() ? name : path + '.' + name, settings);
                }
            }
            case START_ARRAY -> flattenArray(parser, path, settings);
            case VALUE_NULL -> {}
            default -> settings.put(path, readScalar(parser));
        }
    }

    private static void flattenArray(JsonParser parser, String path, Map<String, String> settings) throws IOException {
        List<String> values = new ArrayList<>();
        int objects = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isStructStart()) {
                flatten(parser, path + '.' + objects++, settings);
            } else {
                values.add(readScalar(parser));
            }
        }
        if (objects > 0) {
            settings.put(path + ".count", Integer.toString(objects));
        } else {
            settings.put(path, String.join(",", values));
        }
    }

    private static String readScalar(JsonParser parser) throws IOException {
        String text = parser.getText();
        return parser.currentToken() == JsonToken.VALUE_STRING ? text.replaceAll("[ ,]", "_") : text;
    }
}
