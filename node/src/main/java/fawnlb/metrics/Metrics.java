package fawnlb.metrics;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * The counters and gauges of this process, one for each {@link Metric} and value of its label. Safe for all threads,
 * but for the values of gauges, which are read on the thread that asks for the text.
 */
public final class Metrics {
    private record Series(Metric metric, String labelValue) {
        String prometheusName() {
            return metric.seriesName() + '{' + metric.labelName() + "=\"" + labelValue + "\"}";
        }

        String summaryName() {
            return metric.name().toLowerCase(Locale.ROOT) + '.' + labelValue;
        }
    }

    private static final Map<Series, LongAdder> COUNTERS = new ConcurrentHashMap<>();
    private static final Map<Series, LongSupplier> GAUGES = new ConcurrentHashMap<>();

    private Metrics() {}

    /**
     * Adds one to a counter.
     *
     * @param labelValue a word of the program, never text from outside, so that the number of series is bounded
     */
    public static void increment(Metric metric, String labelValue) {
        COUNTERS.computeIfAbsent(new Series(metric, labelValue), series -> new LongAdder())
                .increment();
    }

    /** Adds a gauge, in place of one with the same metric and label. */
    public static void registerGauge(Metric metric, String labelValue, LongSupplier value) {
        GAUGES.put(new Series(metric, labelValue), value);
    }

    /** Returns one counter, 0 if it was never incremented. */
    public static long value(Metric metric, String labelValue) {
        LongAdder counter = COUNTERS.get(new Series(metric, labelValue));
        return counter == null ? 0 : counter.sum();
    }

    /** Returns the sum of a metric's counters over all values of its label. */
    public static long total(Metric metric) {
        return COUNTERS.entrySet().stream()
                .filter(entry -> entry.getKey().metric() == metric)
                .mapToLong(entry -> entry.getValue().sum())
                .sum();
    }

    /** Returns all series in Prometheus' text format, sorted by name, without help and type lines. */
    public static String toPrometheusText() {
        Map<String, Long> valuesByName = new TreeMap<>();
        COUNTERS.forEach((series, counter) -> valuesByName.put(series.prometheusName(), counter.sum()));
        GAUGES.forEach((series, value) -> valuesByName.put(series.prometheusName(), value.getAsLong()));
        StringBuilder text = new StringBuilder();
        valuesByName.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append('\n'));
        return text.toString();
    }

    /** Returns all counters as one line for the log, sorted by metric. */
    public static String summary() {
        Map<String, Long> valuesByName = new TreeMap<>();
        COUNTERS.forEach((series, counter) -> valuesByName.put(series.summaryName(), counter.sum()));
        StringBuilder line = new StringBuilder();
        valuesByName.forEach((name, value) ->
                line.append(line.isEmpty() ? "" : ", ").append(name).append(' ').append(value));
        return line.toString();
    }
}
