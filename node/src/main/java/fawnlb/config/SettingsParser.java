package fawnlb.config;

import fawnlb.decision.Balancer.Connections;
import fawnlb.decision.Balancer.Costs;
import fawnlb.decision.Balancer.Discovery;
import fawnlb.decision.Balancer.Effect;
import fawnlb.decision.Balancer.Group;
import fawnlb.decision.Balancer.Limits;
import fawnlb.decision.Balancer.Names;
import fawnlb.decision.Balancer.Reports;
import fawnlb.decision.Balancer.RequestClass;
import fawnlb.decision.Balancer.Rules;
import fawnlb.decision.Balancer.Settings;
import fawnlb.decision.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads the start settings, {@code path=value} lines. Unknown paths are skipped. Missing or unreadable ones get the
 * careful default given here: nothing is allowed that was not said, a class is unsafe, drains count at once, and a cold
 * replica has a tenth of its capacity for half a minute.
 */
public final class SettingsParser {
    private static final long SECOND = 1_000_000_000L;
    private static final int MAX_ITEMS = 10_000;
    private static final Map<String, Effect> EFFECTS =
            Map.of("SAFE", Effect.SAFE, "KEYED", Effect.KEYED, "UNSAFE", Effect.UNSAFE);
    private static final Map<String, Group> GROUPS = Map.of("ALL", Group.ALL, "ZONE", Group.ZONE, "CELL", Group.CELL);
    private static final Map<String, Reports> REPORTS = Map.of(
            "NONE",
            Reports.NONE,
            "ANSWER",
            Reports.ANSWERS,
            "ANSWERS",
            Reports.ANSWERS,
            "PROBE",
            Reports.PROBES,
            "PROBES",
            Reports.PROBES);

    private final Map<String, String> values = new HashMap<>();
    private final List<String> complaints = new ArrayList<>();

    public SettingsParser(Map<String, String> pairs) {
        values.putAll(pairs);
    }

    public SettingsParser(String pairs) {
        for (String line : pairs.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                values.put(line.substring(0, at).trim(), line.substring(at + 1).trim());
            }
        }
    }

    /** A plain line for each value that could not be read. */
    public List<String> complaints() {
        return complaints;
    }

    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        List<Double> perThousand = doubles("family-info.aim-us-per-1000-prompt-tokens");
        List<Double> tokenAims = doubles("family-info.token-aim-ns");
        int count = Math.min(MAX_ITEMS, whole("profiles.count", 0));
        for (int i = 0; i < count; i++) {
            String at = "profiles." + i + ".";
            long deadline = time(at + "deadline-ns", SECOND);
            classes.add(new RequestClass(
                    word(at + "effect", EFFECTS, "UNSAFE"),
                    word(at + "group", GROUPS, "CELL"),
                    time(at + "window-ns", 0),
                    time(at + "on-time-ns", deadline),
                    i < perThousand.size() ? perThousand.get(i) : 0,
                    deadline,
                    i < tokenAims.size() ? tokenAims.get(i).longValue() : 0,
                    real(at + "credit", 1),
                    real(at + "late-worth", 0),
                    truth(at + "stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        int orgs = Math.min(MAX_ITEMS, whole("orgs.count", 0));
        for (int i = 0; i < orgs; i++) {
            tenants.add(new Tenant(real("orgs." + i + ".fraction", 0), real("orgs." + i + ".quota-per-s", 0)));
        }
        Limits limits = new Limits(
                whole("limits.most-tries", 1),
                whole("limits.most-held", MAX_ITEMS),
                truth("limits.second-copies"),
                truth("limits.may-cancel"),
                truth("limits.probing"),
                truth("limits.peers"),
                truth("limits.retry-after") ? time("limits.max-retry-after-ns", 0) : 0);
        Rules rules = new Rules(
                time("rules.drain-grace-ns", 0),
                time("rules.ask-within-ns", 10 * SECOND),
                real("rules.cold-from", 0.1),
                time("rules.cold-ns", 30 * SECOND),
                real("rules.tip-multiple", 1),
                time("rules.fall-ns", SECOND));
        Discovery discovery = "subscribe".equals(values.get("registry-mode")) ? Discovery.ASKED : Discovery.PUSHED;
        Reports reports = word("report.how", REPORTS, "NONE");
        String fields = values.getOrDefault("report.fields", "");
        return new Settings(
                whole("my-number", 0),
                Math.max(1, whole("replicas-of-me", 1)),
                whole("az", 0),
                time("tick-ns", 1_000_000),
                truth("family-info.resume"),
                discovery,
                reports,
                fields.isEmpty() ? List.of() : List.of(fields.split(",")),
                List.copyOf(classes),
                List.copyOf(tenants),
                limits,
                rules,
                new Costs(real("costs.cross-zone", 0), real("costs.waste", 0)),
                new Names(named("profiles.", count), named("orgs.", orgs), list("localities"), list("host-types")),
                new Connections(
                        time("limits.connect-timeout-ns", SECOND / 4), time("limits.conn-idle-ns", 15 * SECOND)));
    }

    private List<String> named(String path, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(path + i + ".name", ""));
        }
        return List.copyOf(names);
    }

    private List<String> list(String path) {
        String text = values.getOrDefault(path, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private <T> T read(String path, T missing, Function<String, T> reader) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            return missing;
        }
        try {
            return reader.apply(value);
        } catch (IllegalArgumentException e) {
            complaints.add("fawnlb: setting " + path + " cannot be read: '" + value + "'; using " + missing);
            return missing;
        }
    }

    private int whole(String path, int missing) {
        return (int) Math.min(Integer.MAX_VALUE, time(path, missing));
    }

    private long time(String path, long missing) {
        return read(path, missing, text -> {
            long value = Long.parseLong(text);
            if (value < 0) {
                throw new NumberFormatException(text);
            }
            return value;
        });
    }

    private double real(String path, double missing) {
        return read(path, missing, SettingsParser::finite);
    }

    private static double finite(String text) {
        double value = Double.parseDouble(text);
        if (!Double.isFinite(value) || value < 0) {
            throw new NumberFormatException(text);
        }
        return value;
    }

    private boolean truth(String path) {
        return read(path, false, text -> switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException(text);
        });
    }

    private List<Double> doubles(String path) {
        return read(path, List.of(), text -> {
            List<Double> out = new ArrayList<>();
            for (String item : text.split(",")) {
                out.add(finite(item));
            }
            return out;
        });
    }

    /** The value that a word stands for, whatever its case; {@code missing}: the word that holds without one. */
    private <T> T word(String path, Map<String, T> words, String missing) {
        String word = read(path, missing, text -> {
            for (String known : words.keySet()) {
                if (known.equalsIgnoreCase(text)) {
                    return known;
                }
            }
            throw new IllegalArgumentException(text);
        });
        return words.get(word);
    }
}
