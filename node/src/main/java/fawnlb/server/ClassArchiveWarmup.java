package fawnlb.server;

import fawnlb.config.ConfigurationException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Starts a server and sends it one request, all on loopback. The build runs it to record which classes a start needs;
 * later starts read these classes from an archive. An operator runs it to see whether the program works on a machine.
 */
public final class ClassArchiveWarmup {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int REQUEST_BUFFER_BYTES = 4096;
    private static final Charset WIRE_CHARSET = StandardCharsets.ISO_8859_1;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private ClassArchiveWarmup() {}

    /** Starts a server with a configuration file, as the command line does. */
    @FunctionalInterface
    public interface ServerStarter {
        /** Returns a server that accepts requests. */
        Server start(String configurationFile) throws ConfigurationException, IOException;
    }

    /**
     * Starts a server among stand-ins for discovery and a backend, and sends it a request. The server still runs when
     * it returns.
     *
     * @throws IOException if the server cannot be started, or does not serve the request
     */
    public static void run(ServerStarter starter) throws ConfigurationException, IOException {
        try (ServerSocket backend = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String endpointList = endpointListJson(backend.getLocalPort());
            // The response of a watch has no end.
            startResponder(discovery, chunkedResponse("application/json", endpointList + "\n"));
            startResponder(backend, chunkedResponse("text/event-stream", "data: [DONE]\n\n") + LAST_CHUNK);
            Path configurationFile = Files.createTempFile("fawnlb", ".json");
            try {
                Files.writeString(configurationFile, configurationJson(discovery.getLocalPort(), endpointList));
                Server server = starter.start(configurationFile.toString());
                checkReadinessAnswers(server.platformAddress());
                checkRequestIsServed(server.platformAddress());
            } finally {
                Files.delete(configurationFile);
            }
        }
        System.out.println("served one request");
    }

    private static String endpointListJson(int backendPort) {
        return "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-00000001\",\"host_port\":\"127.0.0.1:"
                + backendPort
                + "\",\"locality\":\"here\",\"flavor\":\"any\",\"cell\":0,\"phase\":\"ready\","
                + "\"size\":1.0,\"up_since_ms\":0}]}";
    }

    private static String configurationJson(int discoveryPort, String endpointList) {
        return "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"1\",\"known\":" + endpointList + ",\"settings\":{"
                + "\"registry-mode\":\"subscribe\",\"limits\":{\"most-tries\":6,\"most-held\":10},"
                + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":5000000000}]}}";
    }

    /** A response of one chunk, without the chunk that ends it. */
    private static String chunkedResponse(String contentType, String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    }

    private static void checkReadinessAnswers(InetSocketAddress server) throws IOException {
        try (Socket socket = connect(server)) {
            write(socket, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            if (socket.getInputStream().read() < 0) {
                throw new IOException("the node does not say whether it is ready");
            }
        }
    }

    private static void checkRequestIsServed(InetSocketAddress server) throws IOException {
        try (Socket socket = connect(server)) {
            write(
                    socket,
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                            + "X-Request-Id: 1\r\nX-Class: chat\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n{}");
            String response = new String(socket.getInputStream().readAllBytes(), WIRE_CHARSET);
            if (!response.startsWith("HTTP/1.1 200") || !response.contains("data: [DONE]")) {
                throw new IOException(
                        "not served: " + response.lines().findFirst().orElse("closed"));
            }
        }
    }

    private static Socket connect(InetSocketAddress server) throws IOException {
        Socket socket = new Socket(server.getAddress(), server.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(WIRE_CHARSET));
    }

    /** Starts a thread that answers every request of one connection at a time, until the socket is closed. */
    private static void startResponder(ServerSocket socket, String response) {
        Thread thread = new Thread(() -> answerUntilClosed(socket, response), "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private static void answerUntilClosed(ServerSocket serverSocket, String response) {
        byte[] request = new byte[REQUEST_BUFFER_BYTES];
        while (!serverSocket.isClosed()) {
            try (Socket socket = serverSocket.accept()) {
                InputStream in = socket.getInputStream();
                while (in.read(request) > 0) {
                    write(socket, response);
                }
            } catch (IOException e) {
                // The warm-up is over, or the server has closed its connection.
            }
        }
    }
}
