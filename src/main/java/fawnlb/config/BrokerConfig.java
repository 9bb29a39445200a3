package fawnlb.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fawnlb.contract.Budget;
import fawnlb.contract.Contract;
import fawnlb.contract.Contracts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The second front's file. {@code messageKinds}: the kinds of target that speak the messages dialect. */
public record BrokerConfig(InetSocketAddress listen, Set<String> messageKinds, Contracts contracts, Syslog syslog) {
    private static final long MS = 1_000_000;

    /** Where flow records go; null in the configuration if nowhere. */
    public record Syslog(InetSocketAddress collector, boolean tcp, int facility) { }

    public static BrokerConfig read(Path file) throws NodeConfig.Bad {
        Map<String, String> pairs = new HashMap<>();
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new NodeConfig.Bad(file + ": not a JSON object");
            }
            Flattener.flatten(in, "", pairs);
        } catch (IOException e) {
            throw NodeConfig.Bad.unreadable(file, e);
        }
        List<Contract> teams = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < number(pairs, "teams.count", 0, 10_000); i++) {
            Contract team = team(pairs, "teams." + i + '.');
            if (!keys.add(team.key())) {
                throw new NodeConfig.Bad("teams." + i + ".key: another team has the same key");
            }
            teams.add(team);
        }
        if (teams.isEmpty()) {
            throw new NodeConfig.Bad(file + ": names no team");
        }
        return new BrokerConfig(NodeConfig.address("listen", pairs.get("listen")),
                Set.copyOf(list(pairs.get("message-kinds"))), new Contracts(List.copyOf(teams)), syslog(pairs));
    }

    private static Contract team(Map<String, String> pairs, String at) throws NodeConfig.Bad {
        Budget budget = new Budget(number(pairs, at + "budget.requests", -1, Integer.MAX_VALUE),
                number(pairs, at + "budget.tokens", -1, Long.MAX_VALUE),
                number(pairs, at + "budget.window-ms", -1, 86_400_000) * MS);
        return new Contract(text(pairs, at + "name"), text(pairs, at + "key"), pairs.getOrDefault(at + "tenant", ""),
                list(text(pairs, at + "classes")), list(text(pairs, at + "models")),
                number(pairs, at + "deadline-ms", -1, 86_400_000) * MS, budget);
    }

    private static Syslog syslog(Map<String, String> pairs) throws NodeConfig.Bad {
        if (!pairs.containsKey("syslog.collector")) {
            return null;
        }
        String transport = pairs.getOrDefault("syslog.transport", "udp");
        if (!transport.equals("udp") && !transport.equals("tcp")) {
            throw new NodeConfig.Bad("syslog.transport: expected udp or tcp, found '" + transport + "'");
        }
        return new Syslog(NodeConfig.address("syslog.collector", pairs.get("syslog.collector")), transport.equals("tcp"),
                (int) number(pairs, "syslog.facility", 16, 23));
    }

    private static List<String> list(String text) {
        return text == null || text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private static String text(Map<String, String> pairs, String path) throws NodeConfig.Bad {
        String text = pairs.get(path);
        if (text == null || text.isEmpty()) {
            throw new NodeConfig.Bad(path + ": required");
        }
        return text;
    }

    /** A whole number; {@code missing} below 0 means that it is required. */
    private static long number(Map<String, String> pairs, String path, long missing, long most) throws NodeConfig.Bad {
        String text = pairs.get(path);
        if (text == null && missing >= 0) {
            return missing;
        }
        try {
            long value = Long.parseLong(text == null ? "" : text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, like one out of range.
        }
        throw new NodeConfig.Bad(path + ": expected a whole number up to " + most + ", found "
                + (text == null ? "nothing" : "'" + text + "'"));
    }
}
