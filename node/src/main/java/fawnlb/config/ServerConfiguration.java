package fawnlb.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The main configuration of a server, which the platform writes.
 *
 * @param name the name of the server in its log
 * @param seed the seed of the load balancer's random numbers
 * @param maxDescriptors how many file descriptors the process may have open
 * @param memoryLimitMegabytes the memory over which the platform kills the process, 0 if it is not known
 * @param initialEndpoints the endpoint list as the server last had it, null if it never had one
 * @param warnings a line for each setting of the load balancer that could not be read and got its default
 */
public record ServerConfiguration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxDescriptors,
        int memoryLimitMegabytes,
        EndpointList initialEndpoints,
        LoadBalancerSettings settings,
        List<String> warnings) {
    /** The environment variable that overrides the address of discovery. */
    public static final String DISCOVERY_VARIABLE = "PROXY_DISCOVERY";

    private static final String NAME_VARIABLE = "PROXY_NAME";
    private static final String LISTEN_VARIABLE = "PROXY_LISTEN";
    /** With fewer, nothing is left for clients beside a third for backends and what the process itself needs. */
    private static final int MIN_DESCRIPTORS = 96;

    private static final int SEED_RADIX = 16;

    /**
     * Reads the file. The name and the addresses that the environment gives override those of the file.
     *
     * @throws ConfigurationException if the file cannot be read, or a setting without which the server cannot run is
     *     missing or invalid
     */
    public static ServerConfiguration read(Path file, Map<String, String> environment) throws ConfigurationException {
        FileContent content = readContent(file);
        Map<String, SettingValue> values = content.values();
        SettingsParser parser = new SettingsParser(values);
        SettingsReader server = new SettingsReader(values);
        LoadBalancerSettings settings = parser.parse();
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigurationException(file, null, "settings name no request class");
        }
        return new ServerConfiguration(
                environment.getOrDefault(NAME_VARIABLE, server.readText("node.name", "node")),
                AddressParser.parse(
                        "listen", environment.getOrDefault(LISTEN_VARIABLE, server.readText("node.listen", null))),
                AddressParser.parse(
                        "discovery",
                        environment.getOrDefault(DISCOVERY_VARIABLE, server.readText("node.discovery", null))),
                parseSeed(server.readText("node.seed", "0")),
                parseMaxDescriptors(server.readText("node.limits.sockets", "1024")),
                parseMemoryLimit(server.readText("node.limits.memory_mb", null)),
                content.initialEndpoints(),
                settings,
                parser.warnings());
    }

    /** The settings of the file under {@code node.} and those of its load balancer, and its endpoint list. */
    private record FileContent(Map<String, SettingValue> values, EndpointList initialEndpoints) {}

    private static FileContent readContent(Path file) throws ConfigurationException {
        Map<String, SettingValue> values = new HashMap<>();
        EndpointList initialEndpoints = null;
        try (JsonParser json = ConfigurationFile.openObject(file)) {
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                if (!name.equals("known")) {
                    JsonFlattener.flatten(json, name.equals("settings") ? "" : "node." + name, values);
                } else if (json.currentToken() == JsonToken.START_OBJECT) {
                    initialEndpoints = EndpointListCodec.read(json);
                } else {
                    json.skipChildren();
                }
            }
        } catch (IOException e) {
            throw ConfigurationException.unreadable(file, e);
        }
        return new FileContent(values, initialEndpoints);
    }

    private static long parseSeed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(null, "seed", "expected hexadecimal digits, found '" + text + "'");
        }
    }

    private static int parseMaxDescriptors(String text) throws ConfigurationException {
        try {
            int maxDescriptors = Integer.parseInt(text);
            if (maxDescriptors >= MIN_DESCRIPTORS) {
                return maxDescriptors;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number that is too low.
        }
        throw new ConfigurationException(
                null, "limits.sockets", "expected " + MIN_DESCRIPTORS + " or more, found '" + text + "'");
    }

    private static int parseMemoryLimit(String text) throws ConfigurationException {
        if (text == null) {
            return 0;
        }
        try {
            double megabytes = Double.parseDouble(text);
            if (megabytes >= 1 && megabytes <= Integer.MAX_VALUE) {
                return (int) megabytes;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number that is out of range.
        }
        throw new ConfigurationException(null, "limits.memory_mb", "expected 1 or more, found '" + text + "'");
    }
}
