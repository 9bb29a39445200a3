package fawnlb.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** Asks the admin listener of a running server. The methods block for some seconds at most. */
public final class AdminClient {
    private static final int TIMEOUT_MILLIS = 5000;

    private AdminClient() {}

    /** Fetches the table of backends for a person to read. */
    public static String fetchTargets(InetSocketAddress adminAddress) throws IOException {
        return fetch(adminAddress, AdminHandler.TARGETS_PATH);
    }

    /** Fetches the table of backends as JSON. */
    public static String fetchTargetsAsJson(InetSocketAddress adminAddress) throws IOException {
        return fetch(adminAddress, AdminHandler.TARGETS_JSON_PATH);
    }

    private static String fetch(InetSocketAddress adminAddress, String path) throws IOException {
        URL url = new URL("http", adminAddress.getHostString(), adminAddress.getPort(), path);
        HttpURLConnection connection = (HttpURLConnection) url.openConnection();
        connection.setConnectTimeout(TIMEOUT_MILLIS);
        connection.setReadTimeout(TIMEOUT_MILLIS);
        try (InputStream in = connection.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            connection.disconnect();
        }
    }
}
