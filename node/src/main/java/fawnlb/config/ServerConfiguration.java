package fawnlb.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.discovery.EndpointList;
import fawnlb.discovery.EndpointListCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a node is told at its start. {@code initialEndpoints}: the list as it last had it, null if it never had one. */
public record ServerConfiguration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxDescriptors,
        EndpointList initialEndpoints,
        LoadBalancerSettings settings,
        List<String> warnings) {
    /** Below this nothing is left for clients beside a third for backends and what the process itself needs. */
    private static final int MIN_DESCRIPTORS = 96;

    /** A configuration that can't be used; the message is one line. */
    public static final class ConfigurationException extends Exception {
        private static final long serialVersionUID = 1;

        public ConfigurationException(String message) {
            super(message);
        }

        static ConfigurationException unreadable(Path file, IOException cause) {
            return new ConfigurationException(
                    cause instanceof NoSuchFileException
                            ? file + ": no such file"
                            : file + ": "
                                    + String.valueOf(cause.getMessage())
                                            .lines()
                                            .findFirst()
                                            .orElse("unreadable"));
        }
    }

    /** Reads the file; the environment's addresses and name win over the file's. */
    public static ServerConfiguration read(Path file, Map<String, String> environment) throws ConfigurationException {
        Map<String, String> pairs = new HashMap<>();
        EndpointList initialEndpoints = null;
        try (JsonParser json = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException(file + ": not a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                if (name.equals("known") && json.currentToken() == JsonToken.START_OBJECT) {
                    initialEndpoints = EndpointListCodec.read(json);
                } else if (name.equals("known")) {
                    json.skipChildren();
                } else {
                    JsonFlattener.flatten(json, name.equals("settings") ? "" : "node." + name, pairs);
                }
            }
        } catch (IOException e) {
            throw ConfigurationException.unreadable(file, e);
        }
        SettingsParser parser = new SettingsParser(pairs);
        LoadBalancerSettings settings = parser.parse();
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigurationException(file + ": settings name no request class");
        }
        return new ServerConfiguration(
                environment.getOrDefault("PROXY_NAME", pairs.getOrDefault("node.name", "node")),
                parseAddress("listen", environment.getOrDefault("PROXY_LISTEN", pairs.get("node.listen"))),
                parseAddress("discovery", environment.getOrDefault("PROXY_DISCOVERY", pairs.get("node.discovery"))),
                seed(pairs.getOrDefault("node.seed", "0")),
                maxDescriptors(pairs.getOrDefault("node.limits.sockets", "1024")),
                initialEndpoints,
                settings,
                parser.warnings());
    }

    /** An address in the form {@code host:port}. */
    public static InetSocketAddress parseAddress(String setting, String text) throws ConfigurationException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        try {
            int port = colon <= 0 ? -1 : Integer.parseInt(text.substring(colon + 1));
            InetSocketAddress address =
                    port >= 0 && port <= 0xffff ? new InetSocketAddress(text.substring(0, colon), port) : null;
            if (address != null && !address.isUnresolved()) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Told below, like a missing one.
        }
        throw new ConfigurationException(setting + ": expected host:port of a host that can be found, found "
                + (text == null ? "nothing" : "'" + text + "'"));
    }

    private static long seed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed: expected hexadecimal digits, found '" + text + "'");
        }
    }

    private static int maxDescriptors(String text) throws ConfigurationException {
        try {
            int maxDescriptors = Integer.parseInt(text);
            if (maxDescriptors >= MIN_DESCRIPTORS) {
                return maxDescriptors;
            }
        } catch (NumberFormatException e) {
            // Told below, like one that is too low.
        }
        throw new ConfigurationException(
                "limits.sockets: expected " + MIN_DESCRIPTORS + " or more, found '" + text + "'");
    }
}
