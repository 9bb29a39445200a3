package fawnlb.platform;

import java.util.HashMap;
import java.util.Map;

/** The entries of an {@code X-ExtrasHeader} header: {@code name=value, name=value}. */
final class ExtrasHeader {
    private ExtrasHeader() {}

    static Map<String, String> parse(String text) {
        Map<String, String> entries = new HashMap<>();
        for (String entry : text == null ? new String[0] : text.split(",")) {
            int separator = entry.indexOf('=');
            if (separator > 0) {
                entries.put(
                        entry.substring(0, separator).trim(),
                        entry.substring(separator + 1).trim());
            } else if (!entry.isBlank()) {
                throw new IllegalArgumentException("X-Extras holds '" + entry.trim() + "', which is not name=value");
            }
        }
        return entries;
    }
}
