package fawnlb.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the server's configuration file for tests. Its request classes are idempotent, not idempotent, and idempotent
 * by a key that the backends of one zone share.
 */
final class ServerConfigJson {
    /** An address that refuses connections. */
    static final String UNREACHABLE = "127.0.0.1:1";

    /** Startup settings that use listed endpoints without waiting for discovery or for health checks. */
    static final String WITHOUT_RESTORED_ENDPOINT_FILTER = "{\"probation\":{\"on\":false}}";

    private final String registryMode;
    private final String discoveryAddress;
    private final List<String> endpoints = new ArrayList<>();
    private String listenAddress = "127.0.0.1:0";
    private int maxSockets = 200;
    private int maxHeldRequests = 100;
    private int memoryMegabytes = 192;
    private long connectionIdleNanos = 15_000_000_000L;
    private String instances = "";
    private String zones = "\"a\"";

    private ServerConfigJson(String registryMode, String discoveryAddress) {
        this.registryMode = registryMode;
        this.discoveryAddress = discoveryAddress;
    }

    /** The endpoint list is pushed: the server uses the configured endpoints, and watches an agent for others. */
    static ServerConfigJson pushedList(String agentAddress) {
        return new ServerConfigJson("automatic", agentAddress);
    }

    static ServerConfigJson pushedList(FakeHttpServer agent) {
        return pushedList(agent.address());
    }

    /** The server uses the configured endpoints; no agent is reachable. */
    static ServerConfigJson fixedList() {
        return pushedList(UNREACHABLE);
    }

    /** The server watches discovery for its endpoint list. */
    static ServerConfigJson watching(String discoveryAddress) {
        return new ServerConfigJson("subscribe", discoveryAddress);
    }

    static ServerConfigJson watching(FakeHttpServer discovery) {
        return watching(discovery.address());
    }

    ServerConfigJson endpoints(String... jsons) {
        endpoints.addAll(List.of(jsons));
        return this;
    }

    ServerConfigJson listenAddress(String address) {
        listenAddress = address;
        return this;
    }

    ServerConfigJson maxSockets(int sockets) {
        maxSockets = sockets;
        return this;
    }

    ServerConfigJson memoryMegabytes(int megabytes) {
        memoryMegabytes = megabytes;
        return this;
    }

    ServerConfigJson maxHeldRequests(int requests) {
        maxHeldRequests = requests;
        return this;
    }

    ServerConfigJson connectionIdleNanos(long nanos) {
        connectionIdleNanos = nanos;
        return this;
    }

    ServerConfigJson instances(int count) {
        instances = "\"replicas-of-me\":" + count + ",";
        return this;
    }

    /** Sets the zones that the settings name; without this, it is zone {@code a} alone. */
    ServerConfigJson zones(String... names) {
        zones = names.length == 0 ? "" : '"' + String.join("\",\"", names) + '"';
        return this;
    }

    String json() {
        return "{\"name\":\"t\",\"listen\":\"" + listenAddress + "\",\"discovery\":\"" + discoveryAddress
                + "\",\"seed\":\"1\",\"limits\":{\"sockets\":" + maxSockets
                + ",\"memory_mb\":" + memoryMegabytes + "},\"known\":{\"revision\":1,\"complete\":true,\"members\":["
                + String.join(",", endpoints)
                + "]},\"settings\":{\"localities\":[" + zones + "],\"host-types\":[\"c\",\"m\"]," + instances
                + "\"registry-mode\":\"" + registryMode + "\",\"limits\":{\"most-tries\":6,\"most-held\":"
                + maxHeldRequests
                + ",\"may-cancel\":true,\"retry-after\":true,\"max-retry-after-ns\":2000000000,"
                + "\"connect-timeout-ns\":250000000,\"conn-idle-ns\":" + connectionIdleNanos
                + "},\"rules\":{\"ask-within-ns\":10000000000},\"profiles\":["
                + "{\"name\":\"chat\",\"effect\":\"safe\",\"deadline-ns\":4000000000,\"late-worth\":0.5},"
                + "{\"name\":\"strict\",\"effect\":\"unsafe\",\"deadline-ns\":4000000000,\"late-worth\":0.5},"
                + "{\"name\":\"by zone\",\"effect\":\"keyed\",\"group\":\"zone\",\"window-ns\":4000000000,"
                + "\"deadline-ns\":4000000000,\"late-worth\":0.5}]}}";
    }

    /** Writes the configuration to a new file. */
    Path file() throws IOException {
        return temporaryFile(json());
    }

    /** Writes a text to a new file that is deleted when the tests end. */
    static Path temporaryFile(String text) throws IOException {
        Path file = Files.createTempFile("fawnlb", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }
}
