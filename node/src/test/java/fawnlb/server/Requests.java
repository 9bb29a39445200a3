package fawnlb.server;

import java.nio.charset.StandardCharsets;

/** Texts of HTTP requests, as clients send them. */
final class Requests {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String CLOSE_CONNECTION = "Connection: close\r\n";
    static final String READINESS = get("/health/ready");

    private Requests() {}

    static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + CLOSE_CONNECTION + "\r\n";
    }

    /** Returns a POST request; each header ends with CRLF. */
    static String post(String path, String body, String... headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + String.join("", headers) + "\r\n" + body;
    }

    /** Returns a chat request after whose response the connection is closed. */
    static String chat(String id, int deadlineMs, String... headers) {
        return chatKeepingConnection(id, deadlineMs, CLOSE_CONNECTION + String.join("", headers));
    }

    /** Returns a chat request behind whose response the connection stays open. */
    static String chatKeepingConnection(String id, int deadlineMs, String... headers) {
        return post(
                CHAT_PATH + "?q=1",
                "{\"a\":1}",
                "X-Request-Id: " + id + "\r\nX-Class: chat\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
                        + String.join("", headers));
    }

    /** Returns the header that keeps requests with the same key on one backend. */
    static String sessionKey(Object key) {
        return "X-Key: " + key + "\r\n";
    }
}
