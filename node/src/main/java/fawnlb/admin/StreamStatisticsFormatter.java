package fawnlb.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.decision.EndpointId;
import fawnlb.stream.StreamState;
import fawnlb.stream.StreamStatistics;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Formats the statistics of all backends' streams, as a table for people and as JSON for tools. */
final class StreamStatisticsFormatter {
    private static final String ROW_FORMAT = "%-16s %-22s %5s %9s %9s  %-34s %s%n";
    private static final String NONE = "-";
    private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private StreamStatisticsFormatter() {}

    /**
     * Formats a table with a row for each backend.
     *
     * @param backendAddresses returns the address of a backend, given its id
     */
    static String toText(List<StreamStatistics> statistics, Function<EndpointId, String> backendAddresses) {
        StringBuilder out = new StringBuilder(String.format(
                ROW_FORMAT, "target", "address", "open", "held", "cut after", "open, by state", "ended, by how"));
        for (StreamStatistics backend : statistics) {
            out.append(String.format(
                    ROW_FORMAT,
                    printableId(backend),
                    backendAddresses.apply(backend.backend()),
                    backend.openStreams(),
                    backend.bufferedBytes() + " B",
                    backend.allowedGapNanos() / NANOS_PER_MILLI + " ms",
                    formatStates(backend),
                    formatEndReasons(backend.endsByLabel())));
        }
        return out.toString();
    }

    /**
     * Formats a JSON array with an object for each backend. Times are in milliseconds, sizes in bytes.
     *
     * @param backendAddresses returns the address of a backend, given its id
     */
    static String toJson(List<StreamStatistics> statistics, Function<EndpointId, String> backendAddresses) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON_FACTORY.createGenerator(text)) {
            json.writeStartArray();
            for (StreamStatistics backend : statistics) {
                writeBackend(json, backend, backendAddresses.apply(backend.backend()));
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void writeBackend(JsonGenerator json, StreamStatistics backend, String address) throws IOException {
        json.writeStartObject();
        json.writeStringField("target", backend.backend().name());
        json.writeStringField("address", address);
        json.writeNumberField("open", backend.openStreams());
        json.writeNumberField("held_bytes", backend.bufferedBytes());
        json.writeNumberField("cut_after_ms", backend.allowedGapNanos() / NANOS_PER_MILLI);
        json.writeObjectFieldStart("states");
        for (Map.Entry<StreamState, Integer> state : backend.streamsByState().entrySet()) {
            json.writeNumberField(state.getKey().label(), state.getValue());
        }
        json.writeEndObject();
        json.writeObjectFieldStart("ends");
        for (Map.Entry<String, Long> end : backend.endsByLabel().entrySet()) {
            json.writeNumberField(end.getKey(), end.getValue());
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    /** The id is text from outside, and must not look like a row of the table. */
    private static String printableId(StreamStatistics backend) {
        return CONTROL_CHARACTER.matcher(backend.backend().name()).replaceAll("?");
    }

    private static String formatStates(StreamStatistics backend) {
        return backend.streamsByState().isEmpty()
                ? NONE
                : backend.streamsByState().entrySet().stream()
                        .map(state -> state.getKey().label() + ' ' + state.getValue())
                        .collect(Collectors.joining(", "));
    }

    private static String formatEndReasons(Map<String, Long> counts) {
        return counts.isEmpty()
                ? NONE
                : counts.entrySet().stream()
                        .map(count -> count.getKey() + ' ' + count.getValue())
                        .collect(Collectors.joining(", "));
    }
}
