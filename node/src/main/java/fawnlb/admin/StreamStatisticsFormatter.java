package fawnlb.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.stream.StreamState;
import fawnlb.stream.StreamStatistics;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/** The figures of all backends as people read them, and as tools do. */
final class StreamStatisticsFormatter {
    private static final String ROW_FORMAT = "%-16s %-22s %5s %9s %9s  %-34s %s%n";

    private StreamStatisticsFormatter() {}

    /** A table; {@code backendAddresses}: where a backend listens. */
    static String toText(List<StreamStatistics> statistics, LongFunction<String> backendAddresses) {
        StringBuilder out = new StringBuilder(String.format(
                ROW_FORMAT, "target", "address", "open", "held", "cut after", "open, by state", "ended, by how"));
        for (StreamStatistics backend : statistics) {
            out.append(String.format(
                    ROW_FORMAT,
                    formatTargetId(backend),
                    backendAddresses.apply(backend.backend()),
                    backend.openStreams(),
                    backend.bufferedBytes() + " B",
                    backend.allowedGapNanos() / 1_000_000 + " ms",
                    formatStates(backend),
                    formatEndReasons(backend.endsByLabel())));
        }
        return out.toString();
    }

    /** A JSON array with an object for each backend; times in milliseconds, sizes in bytes. */
    static String toJson(List<StreamStatistics> statistics, LongFunction<String> backendAddresses) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartArray();
            for (StreamStatistics backend : statistics) {
                json.writeStartObject();
                json.writeStringField("target", formatTargetId(backend));
                json.writeStringField("address", backendAddresses.apply(backend.backend()));
                json.writeNumberField("open", backend.openStreams());
                json.writeNumberField("held_bytes", backend.bufferedBytes());
                json.writeNumberField("cut_after_ms", backend.allowedGapNanos() / 1_000_000);
                json.writeObjectFieldStart("states");
                for (Map.Entry<StreamState, Integer> state :
                        backend.streamsByState().entrySet()) {
                    json.writeNumberField(state.getKey().label(), state.getValue());
                }
                json.writeEndObject();
                json.writeObjectFieldStart("ends");
                for (Map.Entry<String, Long> endReason : backend.endsByLabel().entrySet()) {
                    json.writeNumberField(endReason.getKey(), endReason.getValue());
                }
                json.writeEndObject();
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static String formatTargetId(StreamStatistics backend) {
        return String.format("%08x", backend.backend());
    }

    private static String formatStates(StreamStatistics backend) {
        return backend.streamsByState().isEmpty()
                ? "-"
                : backend.streamsByState().entrySet().stream()
                        .map(state -> state.getKey().label() + ' ' + state.getValue())
                        .collect(Collectors.joining(", "));
    }

    private static String formatEndReasons(Map<String, Long> counts) {
        return counts.isEmpty()
                ? "-"
                : counts.entrySet().stream()
                        .map(count -> count.getKey() + ' ' + count.getValue())
                        .collect(Collectors.joining(", "));
    }
}
