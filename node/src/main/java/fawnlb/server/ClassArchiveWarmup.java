package fawnlb.server;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * One node from its start to its first answer, all on loopback; the process's end then drains it. The build runs it to
 * record which classes a start needs, so that they are read from an archive from then on; the same run tells an
 * operator whether the program works on a machine at all.
 */
public final class ClassArchiveWarmup {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private ClassArchiveWarmup() {}

    /** Starts a node with this configuration, as the command line does. */
    @FunctionalInterface
    public interface ServerStarter {
        Server start(String config) throws Exception;
    }

    /** Fails with an exception if the request is not served as it should be. */
    public static void run(ServerStarter starter) throws Exception {
        try (ServerSocket backend = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String endpointList =
                    "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-00000001\",\"host_port\":\"127.0.0.1:"
                            + backend.getLocalPort()
                            + "\",\"locality\":\"here\",\"flavor\":\"any\",\"cell\":0,\"phase\":\"ready\","
                            + "\"size\":1.0,\"up_since_ms\":0}]}";
            startResponder(discovery, "application/json", endpointList + "\n", false);
            startResponder(backend, "text/event-stream", "data: [DONE]\n\n", true);
            Path configurationFile = Files.createTempFile("fawnlb", ".json");
            try {
                Files.writeString(
                        configurationFile,
                        "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                                + discovery.getLocalPort() + "\",\"seed\":\"1\",\"known\":" + endpointList
                                + ",\"settings\":{"
                                + "\"registry-mode\":\"subscribe\",\"limits\":{\"most-tries\":6,\"most-held\":10},"
                                + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":5000000000}]}}");
                Server server = starter.start(configurationFile.toString());
                sendRequests(server.address(0));
            } finally {
                Files.delete(configurationFile);
            }
        }
        System.out.println("served one request");
    }

    private static void sendRequests(InetSocketAddress serverAddress) throws IOException {
        try (Socket socket = new Socket(serverAddress.getAddress(), serverAddress.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            if (socket.getInputStream().read() < 0) {
                throw new IOException("the node does not say whether it is ready");
            }
        }
        try (Socket socket = new Socket(serverAddress.getAddress(), serverAddress.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                                    + "X-Request-Id: 1\r\nX-Class: chat\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n{}")
                            .getBytes(StandardCharsets.ISO_8859_1));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            if (!response.startsWith("HTTP/1.1 200") || !response.contains("data: [DONE]")) {
                throw new IOException(
                        "not served: " + response.lines().findFirst().orElse("closed"));
            }
        }
    }

    /** Answers the requests on one connection at a time; a list stays open as a watch does. */
    private static void startResponder(ServerSocket server, String contentType, String body, boolean endsResponse) {
        Thread thread = new Thread(
                () -> {
                    byte[] response = ("HTTP/1.1 200 OK\r\nContent-Type: " + contentType
                                    + "\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                                    + "\r\n" + body + "\r\n" + (endsResponse ? "0\r\n\r\n" : ""))
                            .getBytes(StandardCharsets.ISO_8859_1);
                    while (!server.isClosed()) {
                        try (Socket socket = server.accept()) {
                            InputStream in = socket.getInputStream();
                            byte[] request = new byte[4096];
                            while (in.read(request) > 0) {
                                socket.getOutputStream().write(response);
                            }
                        } catch (IOException e) {
                            // The rehearsal is over, or the node has closed its connection.
                        }
                    }
                },
                "stand-in");
        thread.setDaemon(true);
        thread.start();
    }
}
