package fawnlb.lab.load;

import java.nio.charset.StandardCharsets;

/** Builder of the bytes of a POST request. */
public final class PostRequest {
    private final StringBuilder head;

    private PostRequest(String path) {
        head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: lab\r\n");
    }

    /** Starts a request to this path, which may have a query. */
    public static PostRequest to(String path) {
        return new PostRequest(path);
    }

    /** Adds a header behind those that the request has. */
    public PostRequest header(String name, Object value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Returns head and body in UTF-8, with the body's Content-Length. */
    public byte[] toBytes(String body) {
        int bodyBytes = body.getBytes(StandardCharsets.UTF_8).length;
        return (head + "Content-Length: " + bodyBytes + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }
}
