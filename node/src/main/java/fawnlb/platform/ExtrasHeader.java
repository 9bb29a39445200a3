package fawnlb.platform;

import fawnlb.http.InvalidRequestException;
import io.undertow.util.StatusCodes;
import java.util.HashMap;
import java.util.Map;

/** Parses the header {@code X-Extras}: {@code name=value, name=value}. */
final class ExtrasHeader {
    /** The header's name. */
    static final String NAME = "X-Extras";

    private ExtrasHeader() {}

    /**
     * Returns the entries by name; the last one counts if a name occurs twice.
     *
     * @param text the header's value, null for none
     * @throws InvalidRequestException if an entry has no name or no equals sign
     */
    static Map<String, String> parse(String text) throws InvalidRequestException {
        Map<String, String> entries = new HashMap<>();
        if (text == null) {
            return entries;
        }
        for (String entry : text.split(",")) {
            int separator = entry.indexOf('=');
            if (separator > 0) {
                String name = entry.substring(0, separator).trim();
                entries.put(name, entry.substring(separator + 1).trim());
            } else if (!entry.isBlank()) {
                throw new InvalidRequestException(
                        StatusCodes.BAD_REQUEST,
                        NAME,
                        "X-Extras holds '" + entry.trim() + "', which is not name=value");
            }
        }
        return entries;
    }
}
