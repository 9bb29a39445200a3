package fawnlb.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Flattens nested JSON to paths with values, the form in which the simulator gives its settings: {@code {"a":{"b":1}}}
 * becomes {@code a.b} with the value {@code 1}. A list of plain values is one value with several items. A list of
 * objects has its length under {@code .count} and its items under {@code .0}, {@code .1} and so on. Nulls are left out.
 * Texts stay as they are written.
 */
final class JsonFlattener {
    private JsonFlattener() {}

    /**
     * Flattens the value at the parser's current token, and leaves the parser at the last token of that value.
     *
     * @param path the path of the value, empty for the settings themselves
     * @param settings receives the paths and values
     * @throws IOException if the text is not JSON
     */
    static void flatten(JsonParser parser, String path, Map<String, SettingValue> settings) throws IOException {
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
            default -> settings.put(path, SettingValue.ofText(parser.getText()));
        }
    }

    private static void flattenArray(JsonParser parser, String path, Map<String, SettingValue> settings)
            throws IOException {
        List<String> values = new ArrayList<>();
        int objectCount = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isStructStart()) {
                flatten(parser, path + '.' + objectCount++, settings);
            } else {
                values.add(parser.getText());
            }
        }
        if (objectCount > 0) {
            settings.put(path + ".count", SettingValue.ofText(Integer.toString(objectCount)));
        } else {
            settings.put(path, SettingValue.ofItems(values));
        }
    }
}
