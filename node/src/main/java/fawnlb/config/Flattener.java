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
final class Flattener {
    private Flattener() {}

    /** Flattens the value that the parser stands at. */
    static void flatten(JsonParser in, String path, Map<String, String> out) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    flatten(in, path.isEmpty() ? name : path + '.' + name, out);
                }
            }
            case START_ARRAY -> array(in, path, out);
            case VALUE_NULL -> {}
            default -> out.put(path, plain(in));
        }
    }

    private static void array(JsonParser in, String path, Map<String, String> out) throws IOException {
        List<String> values = new ArrayList<>();
        int objects = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken().isStructStart()) {
                flatten(in, path + '.' + objects++, out);
            } else {
                values.add(plain(in));
            }
        }
        if (objects > 0) {
            out.put(path + ".count", Integer.toString(objects));
        } else {
            out.put(path, String.join(",", values));
        }
    }

    private static String plain(JsonParser in) throws IOException {
        String text = in.getText();
        return in.currentToken() == JsonToken.VALUE_STRING ? text.replaceAll("[ ,]", "_") : text;
    }
}
