package fawnlb.platform;

import java.util.HashMap;
import java.util.Map;

/** The entries of an {@code X-Extras} header: {@code name=value, name=value}. */
final class Extras {
    private Extras() {}

    static Map<String, String> parse(String text) {
        Map<String, String> out = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split(",")) {
            int at = part.indexOf('=');
            if (at > 0) {
                out.put(part.substring(0, at).trim(), part.substring(at + 1).trim());
            } else if (!part.isBlank()) {
                throw new IllegalArgumentException("X-Extras holds '" + part.trim() + "', which is not name=value");
            }
        }
        return out;
    }
}
