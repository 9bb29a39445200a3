package fawnlb.http;

import java.util.Map;

/** Status and headers of a response, names in lower case. Keep alive: the connection can be used again. */
public record ResponseHead(int status, Map<String, String> headers, boolean keepAlive) {
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
