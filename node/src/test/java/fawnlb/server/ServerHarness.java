package fawnlb.server;

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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A node under test among stand-ins, and a client's side of a connection to it. */
final class ServerHarness implements AutoCloseable {
    static final long WAIT_TIMEOUT_NANOS = 10_000_000_000L;
    /** Most rules are tested on a list that is believed as it stands. */
    private static final String WITHOUT_RESTORED_ENDPOINT_FILTER = "{\"probation\":{\"on\":false}}";

    final Server server;

    /** Settings of both kinds of class; the mode is that of the list. */
    static String configJson(String mode, String discovery, String endpoints) {
        return "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"1\",\"limits\":{"
                + "\"sockets\":200},\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + endpoints
                + "]},\"settings\":{"
                + "\"localities\":[\"a\"],\"host-types\":[\"c\",\"m\"],\"registry-mode\":\"" + mode + "\",\"limits\":{"
                + "\"most-tries\":6,\"most-held\":100,\"may-cancel\":true,\"retry-after\":true,\"max-retry-after-ns\":2000000000,"
                + "\"connect-timeout-ns\":250000000,\"conn-idle-ns\":15000000000},\"rules\":{\"ask-within-ns\":10000000000},"
                + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":4000000000,\"late-worth\":0.5},"
                + "{\"name\":\"strict\",\"effect\":\"unsafe\",\"deadline-ns\":4000000000,\"late-worth\":0.5}]}}";
    }

    static String endpointJson(int number, String address, String hostType, String phase) {
        return "{\"id\":\"s-0000000" + number + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\""
                + hostType + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1,\"up_since_ms\":0}";
    }

    ServerHarness(String config, String brokerJson) throws Exception {
        this(config, brokerJson, WITHOUT_RESTORED_ENDPOINT_FILTER);
    }

    /** With backends as {@link #withBackends} has them and a file of the operators' for streams. */
    static ServerHarness withStreamConfig(String streams, FakeHttpServer... backends) throws Exception {
        return new ServerHarness(
                configJson(backends),
                null,
                WITHOUT_RESTORED_ENDPOINT_FILTER,
                StreamConfiguration.read(temporaryFile(streams)));
    }

    ServerHarness(String config, String brokerJson, String startJson) throws Exception {
        this(config, brokerJson, startJson, StreamConfiguration.defaults());
    }

    private ServerHarness(String config, String brokerJson, String startJson, StreamConfiguration streams)
            throws Exception {
        ServerConfiguration read = ServerConfiguration.read(temporaryFile(config), Map.of());
        server = new Server(
                read,
                brokerJson == null ? null : MessagesConfiguration.read(temporaryFile(brokerJson)),
                StartupConfiguration.read(temporaryFile(startJson), read.settings()),
                streams);
        server.start();
    }

    /** A node whose list names these backends, ready and of the chat dialect. */
    static ServerHarness withBackends(FakeHttpServer... backends) throws Exception {
        return new ServerHarness(configJson(backends), null);
    }

    private static String configJson(FakeHttpServer... backends) {
        StringBuilder endpoints = new StringBuilder();
        for (int i = 0; i < backends.length; i++) {
            endpoints.append(i > 0 ? "," : "").append(endpointJson(i, backends[i].address(), "c", "ready"));
        }
        return configJson("automatic", "127.0.0.1:1", endpoints.toString());
    }

    static Path temporaryFile(String text) throws IOException {
        Path file = Files.createTempFile("fawnlb", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    private List<InetSocketAddress> openAddresses() {
        return Stream.of(server.platformAddress(), server.messagesAddress(), server.adminAddress())
                .filter(Objects::nonNull)
                .toList();
    }

    Socket connect(int listener) throws IOException {
        InetSocketAddress address = openAddresses().get(listener);
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    static String postRequest(String path, String body, String... headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + String.join("", headers) + "\r\n" + body;
    }

    static String chatRequest(String id, int deadlineMs, String... headers) {
        return postRequest(
                "/v1/chat/completions?q=1",
                "{\"a\":1}",
                "X-Request-Id: " + id + "\r\nX-Class: chat\r\nConnection: close\r\n" + "X-Deadline-Ms: " + deadlineMs
                        + "\r\n" + String.join("", headers));
    }

    /** All that the node sends until it closes the connection. */
    String exchange(int listener, String request) throws IOException {
        try (Socket socket = connect(listener)) {
            try {
                FakeHttpServer.write(socket, request);
            } catch (SocketException e) {
                // A request may be answered, and its connection closed, before all of it is written; the answer is
                // there.
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** A port on which nobody listens for now. */
    static int unusedPort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** Lets the connections to backends rest for as long as they must before they are used again. */
    static void awaitConnectionReuseDelay() {
        long endNanos = System.nanoTime() + Server.CONNECTION_REUSE_DELAY_NANOS + 1_000_000;
        waitUntil("rested", () -> System.nanoTime() > endNanos);
    }

    /** Waits for what must come to be true. */
    static void waitUntil(String expectation, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("never came: " + expectation);
            }
            Thread.yield();
        }
    }

    @Override
    public void close() {
        server.stopNow();
    }
}
