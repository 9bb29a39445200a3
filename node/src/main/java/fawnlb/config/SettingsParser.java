package fawnlb.config;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.decision.LoadBalancerSettings.ConnectionTimeouts;
import fawnlb.decision.LoadBalancerSettings.Costs;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import fawnlb.decision.LoadBalancerSettings.Limits;
import fawnlb.decision.LoadBalancerSettings.LoadReporting;
import fawnlb.decision.LoadBalancerSettings.Names;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads the start settings, {@code prefix=value} lines. Unknown paths are skipped. Missing or unreadable ones get the
 * careful default given here: nothing is allowed that was not said, a class is unsafe, drains count at once, and a cold
 * replica has a tenth of its capacity for half a minute.
 */
public final class SettingsParser {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_LIST_ITEMS = 10_000;
    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "SAFE", Idempotency.IDEMPOTENT, "KEYED", Idempotency.IDEMPOTENCY_KEY, "UNSAFE", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, IdempotencyScope> GROUPS =
            Map.of("ALL", IdempotencyScope.ALL, "ZONE", IdempotencyScope.ZONE, "CELL", IdempotencyScope.CELL);
    private static final Map<String, LoadReporting> REPORTS = Map.of(
            "NONE",
            LoadReporting.NONE,
            "ANSWER",
            LoadReporting.WITH_RESPONSES,
            "ANSWERS",
            LoadReporting.WITH_RESPONSES,
            "PROBE",
            LoadReporting.WITH_HEALTH_CHECKS,
            "PROBES",
            LoadReporting.WITH_HEALTH_CHECKS);

    private final Map<String, String> values = new HashMap<>();
    private final List<String> warnings = new ArrayList<>();

    public SettingsParser(Map<String, String> pairs) {
        values.putAll(pairs);
    }

    public SettingsParser(String pairs) {
        for (String line : pairs.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        }
    }

    /** A plain line for each value that could not be read. */
    public List<String> warnings() {
        return warnings;
    }

    public LoadBalancerSettings parse() {
        List<RequestClass> classes = new ArrayList<>();
        List<Double> firstTokenObjectivePer1000Micros = readDoubles("family-info.aim-us-per-1000-prompt-tokens");
        List<Double> tokenObjectives = readDoubles("family-info.token-aim-ns");
        int classCount = Math.min(MAX_LIST_ITEMS, readInt("profiles.count", 0));
        for (int i = 0; i < classCount; i++) {
            String prefix = "profiles." + i + ".";
            long deadline = readLong(prefix + "deadline-ns", NANOS_PER_SECOND);
            classes.add(new RequestClass(
                    readEnum(prefix + "effect", EFFECTS, "UNSAFE"),
                    readEnum(prefix + "group", GROUPS, "CELL"),
                    readLong(prefix + "window-ns", 0),
                    readLong(prefix + "on-time-ns", deadline),
                    i < firstTokenObjectivePer1000Micros.size() ? firstTokenObjectivePer1000Micros.get(i) : 0,
                    deadline,
                    i < tokenObjectives.size() ? tokenObjectives.get(i).longValue() : 0,
                    readDouble(prefix + "credit", 1),
                    readDouble(prefix + "late-worth", 0),
                    readBoolean(prefix + "stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = Math.min(MAX_LIST_ITEMS, readInt("orgs.count", 0));
        for (int i = 0; i < tenantCount; i++) {
            tenants.add(
                    new Tenant(readDouble("orgs." + i + ".fraction", 0), readDouble("orgs." + i + ".quota-per-s", 0)));
        }
        Limits limits = new Limits(
                readInt("limits.most-tries", 1),
                readInt("limits.most-held", MAX_LIST_ITEMS),
                readBoolean("limits.second-copies"),
                readBoolean("limits.may-cancel"),
                readBoolean("limits.probing"),
                readBoolean("limits.peers"),
                readBoolean("limits.retry-after") ? readLong("limits.max-retry-after-ns", 0) : 0);
        EndpointLifecycle rules = new EndpointLifecycle(
                readLong("rules.drain-grace-ns", 0),
                readLong("rules.ask-within-ns", 10 * NANOS_PER_SECOND),
                readDouble("rules.cold-from", 0.1),
                readLong("rules.cold-ns", 30 * NANOS_PER_SECOND),
                readDouble("rules.tip-multiple", 1),
                readLong("rules.fall-ns", NANOS_PER_SECOND));
        DiscoveryMode discovery =
                "subscribe".equals(values.get("registry-mode")) ? DiscoveryMode.WATCHED : DiscoveryMode.PUSHED;
        LoadReporting reports = readEnum("report.how", REPORTS, "NONE");
        String reportFields = values.getOrDefault("report.fields", "");
        return new LoadBalancerSettings(
                readInt("my-number", 0),
                Math.max(1, readInt("replicas-of-me", 1)),
                readInt("az", 0),
                readLong("tick-ns", 1_000_000),
                readBoolean("family-info.resume"),
                discovery,
                reports,
                reportFields.isEmpty() ? List.of() : List.of(reportFields.split(",")),
                List.copyOf(classes),
                List.copyOf(tenants),
                limits,
                rules,
                new Costs(readDouble("costs.cross-zone", 0), readDouble("costs.waste", 0)),
                new Names(
                        readNames("profiles.", classCount),
                        readNames("orgs.", tenantCount),
                        readList("localities"),
                        readList("host-types")),
                new ConnectionTimeouts(
                        readLong("limits.connect-timeout-ns", NANOS_PER_SECOND / 4),
                        readLong("limits.conn-idle-ns", 15 * NANOS_PER_SECOND)));
    }

    private List<String> readNames(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(prefix + i + ".name", ""));
        }
        return List.copyOf(names);
    }

    private List<String> readList(String path) {
        String text = values.getOrDefault(path, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private <T> T readOrDefault(String path, T defaultValue, Function<String, T> reader) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        try {
            return reader.apply(value);
        } catch (IllegalArgumentException e) {
            warnings.add("fawnlb: setting " + path + " cannot be read: '" + value + "'; using " + defaultValue);
            return defaultValue;
        }
    }

    private int readInt(String path, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, readLong(path, defaultValue));
    }

    private long readLong(String path, long defaultValue) {
        return readOrDefault(path, defaultValue, text -> {
            long value = Long.parseLong(text);
            if (value < 0) {
                throw new NumberFormatException(text);
            }
            return value;
        });
    }

    private double readDouble(String path, double defaultValue) {
        return readOrDefault(path, defaultValue, SettingsParser::parseFiniteDouble);
    }

    private static double parseFiniteDouble(String text) {
        double value = Double.parseDouble(text);
        if (!Double.isFinite(value) || value < 0) {
            throw new NumberFormatException(text);
        }
        return value;
    }

    private boolean readBoolean(String path) {
        return readOrDefault(path, false, text -> switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException(text);
        });
    }

    private List<Double> readDoubles(String path) {
        return readOrDefault(path, List.of(), text -> {
            List<Double> values = new ArrayList<>();
            for (String item : text.split(",")) {
                values.add(parseFiniteDouble(item));
            }
            return values;
        });
    }

    /** The value that a word stands for, whatever its case; {@code defaultValue}: the word that holds without one. */
    private <T> T readEnum(String path, Map<String, T> words, String defaultValue) {
        String word = readOrDefault(path, defaultValue, text -> {
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
