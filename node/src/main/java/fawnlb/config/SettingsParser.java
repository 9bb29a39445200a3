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

/**
 * Parses the settings of the load balancer, which the simulator gives as lines {@code path=value} and the platform as
 * JSON. Unknown paths are skipped. A setting that is missing or cannot be read gets a careful default: nothing is
 * allowed that is not said, requests are not idempotent, endpoints drain at once, and one in slow start has a tenth of
 * its capacity for half a minute. It is used by one thread.
 */
public final class SettingsParser {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_LIST_ITEMS = 10_000;
    private static final String WATCHED_DISCOVERY_MODE = "subscribe";
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_WORD = Map.of(
            "SAFE", Idempotency.IDEMPOTENT, "KEYED", Idempotency.IDEMPOTENCY_KEY, "UNSAFE", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, IdempotencyScope> SCOPE_BY_WORD =
            Map.of("ALL", IdempotencyScope.ALL, "ZONE", IdempotencyScope.ZONE, "CELL", IdempotencyScope.CELL);
    private static final Map<String, LoadReporting> REPORTING_BY_WORD = Map.of(
            "NONE", LoadReporting.NONE,
            "ANSWER", LoadReporting.WITH_RESPONSES,
            "ANSWERS", LoadReporting.WITH_RESPONSES,
            "PROBE", LoadReporting.WITH_HEALTH_CHECKS,
            "PROBES", LoadReporting.WITH_HEALTH_CHECKS);

    private final SettingsReader reader;

    /** Creates a parser of settings that are given by their paths. */
    SettingsParser(Map<String, SettingValue> values) {
        this.reader = new SettingsReader(values);
    }

    /** Creates a parser of lines {@code path=value}. Lines of another form are skipped. */
    public SettingsParser(String lines) {
        this(splitLines(lines));
    }

    private static Map<String, SettingValue> splitLines(String lines) {
        Map<String, SettingValue> values = new HashMap<>();
        for (String line : lines.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                String path = line.substring(0, separator).trim();
                String text = line.substring(separator + 1).trim();
                values.put(path, SettingValue.ofCommaSeparated(text));
            }
        }
        return values;
    }

    /** A line for each value that {@link #parse} could not read. */
    public List<String> warnings() {
        return reader.warnings();
    }

    /** Reads all settings; one that can't be read keeps its default and adds a warning. */
    public LoadBalancerSettings parse() {
        List<RequestClass> classes = parseRequestClasses();
        List<Tenant> tenants = parseTenants();
        Limits limits = parseLimits();
        EndpointLifecycle lifecycle = parseEndpointLifecycle();
        String discoveryMode = reader.readText("registry-mode", "");
        LoadReporting reporting = reader.readWord("report.how", REPORTING_BY_WORD, "NONE");
        return new LoadBalancerSettings(
                reader.readInt("my-number", 0),
                Math.max(1, reader.readInt("replicas-of-me", 1)),
                reader.readInt("az", 0),
                reader.readLong("tick-ns", NANOS_PER_MILLI),
                reader.readBoolean("family-info.resume"),
                discoveryMode.equals(WATCHED_DISCOVERY_MODE) ? DiscoveryMode.WATCHED : DiscoveryMode.PUSHED,
                reporting,
                reader.readList("report.fields"),
                classes,
                tenants,
                limits,
                lifecycle,
                new Costs(reader.readDouble("costs.cross-zone", 0), reader.readDouble("costs.waste", 0)),
                parseNames(classes.size(), tenants.size()),
                parseConnectionTimeouts());
    }

    private List<RequestClass> parseRequestClasses() {
        List<Double> firstTokenObjectives = reader.readDoubles("family-info.aim-us-per-1000-prompt-tokens");
        List<Double> tokenObjectives = reader.readDoubles("family-info.token-aim-ns");
        List<RequestClass> classes = new ArrayList<>();
        int count = readCount("profiles.count");
        for (int i = 0; i < count; i++) {
            double firstTokenObjective = i < firstTokenObjectives.size() ? firstTokenObjectives.get(i) : 0;
            long tokenObjectiveNanos =
                    i < tokenObjectives.size() ? tokenObjectives.get(i).longValue() : 0;
            classes.add(parseRequestClass("profiles." + i + ".", firstTokenObjective, tokenObjectiveNanos));
        }
        return List.copyOf(classes);
    }

    /**
     * Parses one request class.
     *
     * @param firstTokenObjective microseconds for 1000 tokens of the prompt, which are nanoseconds for one token
     */
    private RequestClass parseRequestClass(String prefix, double firstTokenObjective, long tokenObjectiveNanos) {
        long deadlineNanos = reader.readLong(prefix + "deadline-ns", NANOS_PER_SECOND);
        return new RequestClass(
                reader.readWord(prefix + "effect", IDEMPOTENCY_BY_WORD, "UNSAFE"),
                reader.readWord(prefix + "group", SCOPE_BY_WORD, "CELL"),
                reader.readLong(prefix + "window-ns", 0),
                reader.readLong(prefix + "on-time-ns", deadlineNanos),
                firstTokenObjective,
                deadlineNanos,
                tokenObjectiveNanos,
                reader.readDouble(prefix + "credit", 1),
                reader.readDouble(prefix + "late-worth", 0),
                reader.readBoolean(prefix + "stream"));
    }

    private List<Tenant> parseTenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = readCount("orgs.count");
        for (int i = 0; i < count; i++) {
            String prefix = "orgs." + i + ".";
            tenants.add(new Tenant(
                    reader.readDouble(prefix + "fraction", 0), reader.readDouble(prefix + "quota-per-s", 0)));
        }
        return List.copyOf(tenants);
    }

    private Limits parseLimits() {
        return new Limits(
                reader.readInt("limits.most-tries", 1),
                reader.readInt("limits.most-held", MAX_LIST_ITEMS),
                reader.readBoolean("limits.second-copies"),
                reader.readBoolean("limits.may-cancel"),
                reader.readBoolean("limits.probing"),
                reader.readBoolean("limits.peers"),
                reader.readBoolean("limits.retry-after") ? reader.readLong("limits.max-retry-after-ns", 0) : 0);
    }

    private EndpointLifecycle parseEndpointLifecycle() {
        return new EndpointLifecycle(
                reader.readLong("rules.drain-grace-ns", 0),
                reader.readLong("rules.ask-within-ns", 10 * NANOS_PER_SECOND),
                reader.readDouble("rules.cold-from", 0.1),
                reader.readLong("rules.cold-ns", 30 * NANOS_PER_SECOND),
                reader.readDouble("rules.tip-multiple", 1),
                reader.readLong("rules.fall-ns", NANOS_PER_SECOND));
    }

    private ConnectionTimeouts parseConnectionTimeouts() {
        return new ConnectionTimeouts(
                reader.readLong("limits.connect-timeout-ns", NANOS_PER_SECOND / 4),
                reader.readLong("limits.conn-idle-ns", 15 * NANOS_PER_SECOND));
    }

    private Names parseNames(int classCount, int tenantCount) {
        return new Names(
                readNames("profiles.", classCount),
                readNames("orgs.", tenantCount),
                reader.readList("localities"),
                reader.readList("host-types"));
    }

    private List<String> readNames(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(reader.readText(prefix + i + ".name", ""));
        }
        return List.copyOf(names);
    }

    private int readCount(String path) {
        return Math.min(MAX_LIST_ITEMS, reader.readInt(path, 0));
    }
}
