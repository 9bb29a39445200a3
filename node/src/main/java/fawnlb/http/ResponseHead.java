package fawnlb.http;

import java.util.Map;

/**
 * Status and headers of a response.
 *
 * @param status the status code, 200 to 599
 * @param headers the headers' values by their names in lower case
 * @param keepAlive whether the connection may carry another request after this response
 */
public record ResponseHead(int status, Map<String, String> headers, boolean keepAlive) {
    /** The value of a header, empty if the response doesn't have it. The name must be given in lower case. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
