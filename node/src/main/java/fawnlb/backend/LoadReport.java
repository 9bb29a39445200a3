package fawnlb.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Reads the load reports that backends send in the header X-Load, at the end of a stream and in answer to a health
 * check, such as {@code TEXT inflight=7, queue=2, util=0.61}. Unknown fields and a leading word are ignored.
 */
final class LoadReport {
    /** The report's name of a value by the settings' name; any other name is the same in both. */
    private static final Map<String, String> REPORT_NAMES = Map.ofEntries(
            Map.entry("active", "inflight"),
            Map.entry("waiting", "queue"),
            Map.entry("cpu", "util"),
            Map.entry("avg_ms", "latency_ms"),
            Map.entry("rps", "qps"),
            Map.entry("err_rps", "eps"));

    private LoadReport() {}

    /**
     * Returns the values of the given fields in their order, 0 for one that is missing or no finite number from 0 on;
     * an empty list if none of them is there.
     */
    static List<Double> parse(String text, List<String> fields) {
        List<Double> values = new ArrayList<>();
        boolean anyPresent = false;
        for (String field : fields) {
            OptionalDouble value = findValue(text, REPORT_NAMES.getOrDefault(field, field));
            anyPresent |= value.isPresent();
            values.add(value.orElse(0));
        }
        return anyPresent ? values : List.of();
    }

    private static OptionalDouble findValue(String text, String name) {
        for (String part : text.toLowerCase(Locale.ROOT).split("[\\s,;]+")) {
            if (part.startsWith(name + "=")) {
                return parseValue(part.substring(name.length() + 1));
            }
        }
        return OptionalDouble.empty();
    }

    private static OptionalDouble parseValue(String number) {
        try {
            double value = Double.parseDouble(number);
            return Double.isFinite(value) && value >= 0 ? OptionalDouble.of(value) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
