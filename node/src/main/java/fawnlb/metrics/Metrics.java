package fawnlb.metrics;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The process's counters, by metric and by the value of its one label. Labels are constants of enums or other words of
 * the program, never anything that came from outside, so that there are few.
 */
public final class Metrics {
    /** What is counted; the label says how or why. */
    public enum Metric {
        /** Requests, by how they ended for their client. */
        REQUESTS("fawnlb_requests_total", "end"),
        /** Attempts, by how they ended. */
        ATTEMPTS("fawnlb_attempts_total", "end"),
        /** Attempts that were decided on and not sent, by what stood against it. */
        SENDS_PREVENTED("fawnlb_sends_prevented_total", "reason"),
        /** Clients' connections that the node closed, by why. */
        CLIENT_CONNECTIONS_CLOSED("fawnlb_client_connections_closed_total", "reason"),
        /** Accepts that failed, by listener address. */
        ACCEPT_FAILURES("fawnlb_accept_failures_total", "kind"),
        /** Connects to backends that failed for a reason of this machine. */
        LOCAL_CONNECT_FAILURES("fawnlb_local_connect_failures_total", "kind"),
        /** Calls to discovery, by how they went. */
        DISCOVERY_CALLS("fawnlb_discovery_calls_total", "result"),
        /** Messages that a full mailbox did not take. */
        MESSAGES_DROPPED("fawnlb_messages_dropped_total", "kind"),
        /** Broken invariants: each is a fault of the node. */
        INVARIANT_VIOLATIONS("fawnlb_invariant_violations_total", "invariant");

        private final String seriesName;
        private final String labelName;

        Metric(String seriesName, String label) {
            this.seriesName = seriesName;
            this.labelName = label;
        }
    }

    private record Key(Metric metric, String labelValue) {}

    private static final Map<Key, LongAdder> COUNTERS = new ConcurrentHashMap<>();

    private Metrics() {}

    /** Counts one more. */
    public static void increment(Metric metric, String labelValue) {
        COUNTERS.computeIfAbsent(new Key(metric, labelValue), key -> new LongAdder())
                .increment();
    }

    /** Counts one more under the constant's name, in lower case. */
    public static void increment(Metric metric, Enum<?> labelValue) {
        increment(metric, labelValue.name().toLowerCase(Locale.ROOT));
    }

    /** How often something was counted. */
    public static long value(Metric metric, String labelValue) {
        LongAdder counter = COUNTERS.get(new Key(metric, labelValue));
        return counter == null ? 0 : counter.sum();
    }

    /** How often a metric was counted, all labels together. */
    public static long total(Metric metric) {
        return COUNTERS.entrySet().stream()
                .filter(entry -> entry.getKey().metric() == metric)
                .mapToLong(entry -> entry.getValue().sum())
                .sum();
    }

    /** All counters in Prometheus's text format, in the order of their names. */
    public static String toPrometheusText() {
        Map<String, Long> lines = new TreeMap<>();
        COUNTERS.forEach((key, counter) -> lines.put(
                key.metric().seriesName + '{' + key.metric().labelName + "=\"" + key.labelValue() + "\"}",
                counter.sum()));
        StringBuilder text = new StringBuilder();
        lines.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append('\n'));
        return text.toString();
    }

    /** One line of all that was counted, for the log. */
    public static String summary() {
        Map<String, Long> parts = new TreeMap<>();
        COUNTERS.forEach((key, counter) ->
                parts.put(key.metric().name().toLowerCase(Locale.ROOT) + '.' + key.labelValue(), counter.sum()));
        StringBuilder line = new StringBuilder();
        parts.forEach((name, value) ->
                line.append(line.isEmpty() ? "" : ", ").append(name).append(' ').append(value));
        return line.toString();
    }
}
