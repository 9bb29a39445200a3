package fawnlb.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.stream.Figures;
import fawnlb.stream.State;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/** The figures of all backends as people read them, and as tools do. */
final class FiguresTable {
    private static final String ROW = "%-16s %-22s %5s %9s %9s  %-34s %s%n";

    private FiguresTable() {}

    /** A table; {@code address}: where a backend listens. */
    static String text(List<Figures> all, LongFunction<String> address) {
        StringBuilder out = new StringBuilder(String.format(
                ROW, "target", "address", "open", "held", "cut after", "open, by state", "ended, by how"));
        for (Figures one : all) {
            out.append(String.format(
                    ROW,
                    name(one),
                    address.apply(one.backend()),
                    one.open(),
                    one.heldBytes() + " B",
                    one.allowedGap() / 1_000_000 + " ms",
                    states(one),
                    pairs(one.ends())));
        }
        return out.toString();
    }

    /** A JSON array with an object for each backend; times in milliseconds, sizes in bytes. */
    static String json(List<Figures> all, LongFunction<String> address) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartArray();
            for (Figures one : all) {
                out.writeStartObject();
                out.writeStringField("target", name(one));
                out.writeStringField("address", address.apply(one.backend()));
                out.writeNumberField("open", one.open());
                out.writeNumberField("held_bytes", one.heldBytes());
                out.writeNumberField("cut_after_ms", one.allowedGap() / 1_000_000);
                out.writeObjectFieldStart("states");
                for (Map.Entry<State, Integer> state : one.states().entrySet()) {
                    out.writeNumberField(state.getKey().words(), state.getValue());
                }
                out.writeEndObject();
                out.writeObjectFieldStart("ends");
                for (Map.Entry<String, Long> end : one.ends().entrySet()) {
                    out.writeNumberField(end.getKey(), end.getValue());
                }
                out.writeEndObject();
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static String name(Figures one) {
        return String.format("%08x", one.backend());
    }

    private static String states(Figures one) {
        return one.states().isEmpty()
                ? "-"
                : one.states().entrySet().stream()
                        .map(state -> state.getKey().words() + ' ' + state.getValue())
                        .collect(Collectors.joining(", "));
    }

    private static String pairs(Map<String, Long> counts) {
        return counts.isEmpty()
                ? "-"
                : counts.entrySet().stream()
                        .map(count -> count.getKey() + ' ' + count.getValue())
                        .collect(Collectors.joining(", "));
    }
}
