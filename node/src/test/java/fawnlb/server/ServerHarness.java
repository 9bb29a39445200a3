package fawnlb.server;

import fawnlb.admin.AdminClient;
import fawnlb.config.MessagesConfiguration;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A server in this process among {@link FakeHttpServer}s, and the client's side of connections to it. */
final class ServerHarness implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    final Server server;

    private ServerHarness(ServerConfigJson config, String brokerJson, String startupJson, StreamConfiguration streams)
            throws Exception {
        ServerConfiguration configuration = ServerConfiguration.read(config.file(), Map.of());
        MessagesConfiguration broker =
                brokerJson == null ? null : MessagesConfiguration.read(ServerConfigJson.temporaryFile(brokerJson));
        StartupConfiguration startup =
                StartupConfiguration.read(ServerConfigJson.temporaryFile(startupJson), configuration.settings());
        server = new Server(configuration, broker, startup, streams);
        server.start();
    }

    static ServerHarness withConfig(ServerConfigJson config) throws Exception {
        return withBroker(config, null);
    }

    /** Starts a server with a fixed list of these backends, which are ready and speak the chat dialect. */
    static ServerHarness withBackends(FakeHttpServer... backends) throws Exception {
        return withConfig(fixedList(backends));
    }

    static ServerHarness withBroker(ServerConfigJson config, String brokerJson) throws Exception {
        return new ServerHarness(
                config, brokerJson, ServerConfigJson.WITHOUT_RESTORED_ENDPOINT_FILTER, StreamConfiguration.defaults());
    }

    static ServerHarness withStartup(ServerConfigJson config, String startupJson) throws Exception {
        return new ServerHarness(config, null, startupJson, StreamConfiguration.defaults());
    }

    /** Starts a server with backends as {@link #withBackends} and with a file of settings for streams. */
    static ServerHarness withStreams(String streamsJson, FakeHttpServer... backends) throws Exception {
        return new ServerHarness(
                fixedList(backends),
                null,
                ServerConfigJson.WITHOUT_RESTORED_ENDPOINT_FILTER,
                StreamConfiguration.read(ServerConfigJson.temporaryFile(streamsJson)));
    }

    private static ServerConfigJson fixedList(FakeHttpServer... backends) {
        ServerConfigJson config = ServerConfigJson.fixedList();
        for (int i = 0; i < backends.length; i++) {
            config.endpoints(EndpointLists.ready(i, backends[i]));
        }
        return config;
    }

    Socket connect() throws IOException {
        return connect(server.platformAddress());
    }

    Socket connectToBroker() throws IOException {
        return connect(server.messagesAddress());
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** Sends a request and returns all that the server sends until it closes the connection. */
    String exchange(String request) throws IOException {
        return exchange(server.platformAddress(), request);
    }

    String exchangeWithBroker(String request) throws IOException {
        return exchange(server.messagesAddress(), request);
    }

    String exchangeWithAdmin(String request) throws IOException {
        return exchange(server.adminAddress(), request);
    }

    private static String exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = connect(address)) {
            try {
                FakeHttpServer.write(socket, request);
            } catch (SocketException e) {
                // The server may respond and close the connection before it has read the whole request.
            }
            return readToEnd(socket);
        }
    }

    /** Returns all that the server still sends on a connection. */
    static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Returns what the server sends on a connection until it closes or resets it. */
    static String readToResetOrEnd(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        try (socket) {
            for (int c = socket.getInputStream().read();
                    c >= 0;
                    c = socket.getInputStream().read()) {
                text.append((char) c);
            }
        } catch (SocketException e) {
            // A reset is a close that leaves bytes of the client unread.
        }
        return text.toString();
    }

    boolean isReady() throws IOException {
        return exchange(Requests.READINESS).startsWith("HTTP/1.1 200");
    }

    /** Returns the admin listener's table of backends. */
    String backendTable() throws IOException {
        return AdminClient.fetchTargets(server.adminAddress());
    }

    /** Returns the admin listener's JSON document of backends. */
    String backendJson() throws IOException {
        return AdminClient.fetchTargetsAsJson(server.adminAddress());
    }

    void awaitNoOpenRequests() {
        Await.waitUntil("no open requests", () -> server.openRequests() == 0);
    }

    /** Returns a port that refuses connections, as long as no other process takes it. */
    static int unusedPort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return unused.getLocalPort();
        }
    }

    /** Waits as long as the server leaves a backend's connection unused before it is used again. */
    static void awaitConnectionReuseDelay() {
        long endNanos = System.nanoTime() + Server.CONNECTION_REUSE_DELAY_NANOS + TimeUnit.MILLISECONDS.toNanos(1);
        Await.waitUntil("connections may be reused", () -> System.nanoTime() > endNanos);
    }

    @Override
    public void close() {
        server.stopNow();
    }
}
