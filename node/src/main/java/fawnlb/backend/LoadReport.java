package fawnlb.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A backend's load report, {@code TEXT inflight=7, queue=2, util=0.61}, in the order that the settings name. */
final class LoadReport {
    /** The settings' names of the values, and the report's. */
    private static final Map<String, String> REPORT_NAMES = Map.of(
            "active",
            "inflight",
            "waiting",
            "queue",
            "cpu",
            "util",
            "avg_ms",
            "latency_ms",
            "rps",
            "qps",
            "err_rps",
            "eps");

    private LoadReport() {}

    /** The values, 0 for one that is missing; nothing if the text is no report. */
    static List<Double> parse(String text, List<String> fields) {
        List<Double> values = new ArrayList<>();
        boolean anyPresent = false;
        for (String field : fields) {
            Double value = findValue(text, REPORT_NAMES.getOrDefault(field, field));
            anyPresent |= value != null;
            values.add(value == null ? 0 : value);
        }
        return anyPresent ? values : List.of();
    }

    private static Double findValue(String text, String name) {
        for (String part : text.toLowerCase(Locale.ROOT).split("[\\s,;]+")) {
            if (part.startsWith(name + "=")) {
                try {
                    double value = Double.parseDouble(part.substring(name.length() + 1));
                    return Double.isFinite(value) && value >= 0 ? value : null;
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return null;
    }
}
