package fawnlb.lab.net;

import java.util.Map;

/**
 * A complete HTTP request.
 *
 * @param path path with query, as in the request line
 * @param headers values by header name in lower case; of a repeated header the last value
 */
public record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
    /** Returns the value of the header with this lower-case name, or the empty string if the request has none. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
