package fawnlb.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** Asks the admin listener of a running node. */
public final class AdminClient {
    private static final int TIMEOUT_MILLIS = 5000;

    private AdminClient() {}

    /** The table of backends, as a person reads it or as JSON. */
    public static String fetchTargets(InetSocketAddress adminAddress, boolean asJson) throws IOException {
        URL url = new URL(
                "http", adminAddress.getHostString(), adminAddress.getPort(), asJson ? "/targets.json" : "/targets");
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
