package fawnlb.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Status and headers of a response.
 *
 * @param status the status code, 200 to 599
 * @param headers the values of {@link #KNOWN_HEADERS}, as far as they are there, by their names in lower case
 * @param keepAlive whether the connection may carry another request after this response
 */
public record ResponseHead(int status, Map<String, String> headers, boolean keepAlive) {
    /** The headers that are read here. The others are dropped: a head is held for as long as its response. */
    public static final Set<String> KNOWN_HEADERS = Set.of("x-load", "x-not-run", "retry-after");

    private static final int MAX_VALUE_LENGTH = 1024;

    /** Creates a head with the known ones of these headers, but for values of over 1,024 characters. */
    static ResponseHead keepingKnownHeaders(int status, Map<String, String> headers, boolean keepAlive) {
        Map<String, String> known = new HashMap<>();
        for (String name : KNOWN_HEADERS) {
            String value = headers.get(name);
            if (value != null && value.length() <= MAX_VALUE_LENGTH) {
                known.put(name, value);
            }
        }
        return new ResponseHead(status, known, keepAlive);
    }

    /** The value of a header, empty if the response doesn't have it. The name must be given in lower case. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
