package fawnlb.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.decision.Balancer.Settings;
import fawnlb.discovery.MemberList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a node is told at its start. {@code known}: the list as it last had it, null if it never had one. */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        MemberList known,
        Settings settings,
        List<String> complaints) {
    /** Below this nothing is left for clients beside a third for backends and what the process itself needs. */
    private static final int MIN_SOCKETS = 96;

    /** A configuration that can't be used; the message is one line. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        public Bad(String message) {
            super(message);
        }

        static Bad unreadable(Path file, IOException why) {
            return new Bad(
                    why instanceof NoSuchFileException
                            ? file + ": no such file"
                            : file + ": "
                                    + String.valueOf(why.getMessage())
                                            .lines()
                                            .findFirst()
                                            .orElse("unreadable"));
        }
    }

    /** Reads the file; the environment's addresses and name win over the file's. */
    public static NodeConfig read(Path file, Map<String, String> environment) throws Bad {
        Map<String, String> pairs = new HashMap<>();
        MemberList known = null;
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new Bad(file + ": not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals("known") && in.currentToken() == JsonToken.START_OBJECT) {
                    known = MemberList.read(in);
                } else if (name.equals("known")) {
                    in.skipChildren();
                } else {
                    Flattener.flatten(in, name.equals("settings") ? "" : "node." + name, pairs);
                }
            }
        } catch (IOException e) {
            throw Bad.unreadable(file, e);
        }
        SettingsParser parser = new SettingsParser(pairs);
        Settings settings = parser.settings();
        if (settings.classes().isEmpty()) {
            throw new Bad(file + ": settings name no request class");
        }
        return new NodeConfig(
                environment.getOrDefault("PROXY_NAME", pairs.getOrDefault("node.name", "node")),
                address("listen", environment.getOrDefault("PROXY_LISTEN", pairs.get("node.listen"))),
                address("discovery", environment.getOrDefault("PROXY_DISCOVERY", pairs.get("node.discovery"))),
                seed(pairs.getOrDefault("node.seed", "0")),
                sockets(pairs.getOrDefault("node.limits.sockets", "1024")),
                known,
                settings,
                parser.complaints());
    }

    /** An address in the form {@code host:port}. */
    public static InetSocketAddress address(String what, String text) throws Bad {
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
        throw new Bad(what + ": expected host:port of a host that can be found, found "
                + (text == null ? "nothing" : "'" + text + "'"));
    }

    private static long seed(String text) throws Bad {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new Bad("seed: expected hexadecimal digits, found '" + text + "'");
        }
    }

    private static int sockets(String text) throws Bad {
        try {
            int sockets = Integer.parseInt(text);
            if (sockets >= MIN_SOCKETS) {
                return sockets;
            }
        } catch (NumberFormatException e) {
            // Told below, like one that is too low.
        }
        throw new Bad("limits.sockets: expected " + MIN_SOCKETS + " or more, found '" + text + "'");
    }
}
