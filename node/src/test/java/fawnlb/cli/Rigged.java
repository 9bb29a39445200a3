package fawnlb.cli;

import fawnlb.config.BrokerConfig;
import fawnlb.config.NodeConfig;
import fawnlb.config.StartConfig;
import fawnlb.config.StreamConfig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** A node under test among stand-ins, and a client's side of a connection to it. */
final class Rigged implements AutoCloseable {
    static final long PATIENCE = 10_000_000_000L;
    /** Most rules are tested on a list that is believed as it stands. */
    private static final String BELIEVED = "{\"probation\":{\"on\":false}}";

    final Node node;

    /** Settings of both kinds of class; the mode is that of the list. */
    static String config(String mode, String discovery, String members) {
        return "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"1\",\"limits\":{"
                + "\"sockets\":200},\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + members
                + "]},\"settings\":{"
                + "\"localities\":[\"a\"],\"host-types\":[\"c\",\"m\"],\"registry-mode\":\"" + mode + "\",\"limits\":{"
                + "\"most-tries\":6,\"most-held\":100,\"may-cancel\":true,\"retry-after\":true,\"max-retry-after-ns\":2000000000,"
                + "\"connect-timeout-ns\":250000000,\"conn-idle-ns\":15000000000},\"rules\":{\"ask-within-ns\":10000000000},"
                + "\"profiles\":[{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":4000000000,\"late-worth\":0.5},"
                + "{\"name\":\"strict\",\"effect\":\"unsafe\",\"deadline-ns\":4000000000,\"late-worth\":0.5}]}}";
    }

    static String member(int number, String address, String kind, String phase) {
        return "{\"id\":\"s-0000000" + number + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\""
                + kind + "\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1,\"up_since_ms\":0}";
    }

    Rigged(String config, String broker) throws Exception {
        this(config, broker, BELIEVED);
    }

    /** With backends as {@link #with} has them and a file of the operators' for streams. */
    static Rigged streaming(String streams, StandIn... backends) throws Exception {
        return new Rigged(config(backends), null, BELIEVED, StreamConfig.read(file(streams)));
    }

    Rigged(String config, String broker, String start) throws Exception {
        this(config, broker, start, StreamConfig.none());
    }

    private Rigged(String config, String broker, String start, StreamConfig streams) throws Exception {
        NodeConfig read = NodeConfig.read(file(config), Map.of());
        node = new Node(
                read,
                broker == null ? null : BrokerConfig.read(file(broker)),
                StartConfig.read(file(start), read.settings()),
                streams);
        node.start();
    }

    /** A node whose list names these backends, ready and of the chat dialect. */
    static Rigged with(StandIn... backends) throws Exception {
        return new Rigged(config(backends), null);
    }

    private static String config(StandIn... backends) {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < backends.length; i++) {
            members.append(i > 0 ? "," : "").append(member(i, backends[i].address(), "c", "ready"));
        }
        return config("automatic", "127.0.0.1:1", members.toString());
    }

    static Path file(String text) throws IOException {
        Path file = Files.createTempFile("fawnlb", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    Socket connect(int front) throws IOException {
        InetSocketAddress address = node.address(front);
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    static String post(String path, String body, String... headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + String.join("", headers) + "\r\n" + body;
    }

    static String chat(String id, int deadlineMs, String... headers) {
        return post(
                "/v1/chat/completions?q=1",
                "{\"a\":1}",
                "X-Request-Id: " + id + "\r\nX-Class: chat\r\nConnection: close\r\n" + "X-Deadline-Ms: " + deadlineMs
                        + "\r\n" + String.join("", headers));
    }

    /** All that the node sends until it closes the connection. */
    String ask(int front, String request) throws IOException {
        try (Socket socket = connect(front)) {
            try {
                StandIn.write(socket, request);
            } catch (SocketException e) {
                // A request may be answered, and its connection closed, before all of it is written; the answer is
                // there.
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** A port on which nobody listens for now. */
    static int closedPort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** Lets the connections to backends rest for as long as they must before they are used again. */
    static void rest() {
        long end = System.nanoTime() + Node.REST + 1_000_000;
        until("rested", () -> System.nanoTime() > end);
    }

    /** Waits for what must come to be true. */
    static void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + PATIENCE;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came: " + what);
            }
            Thread.yield();
        }
    }

    @Override
    public void close() {
        node.stop();
    }
}
