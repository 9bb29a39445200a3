package fawnlb.lab.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the file that a node is started with: its addresses, and the operators' settings of the emulated fleet. */
final class NodeConfigurationWriter {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

    private final JsonGenerator out;

    private NodeConfigurationWriter(JsonGenerator out) {
        this.out = out;
    }

    /** Writes the configuration of the node with this name and listening address. */
    static void write(Path file, String name, InetSocketAddress address, NodeConfiguration configuration)
            throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            new NodeConfigurationWriter(out).write(name, address, configuration);
        }
    }

    private void write(String name, InetSocketAddress address, NodeConfiguration configuration) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeStringField("listen", formatAddress(address));
        out.writeStringField("discovery", formatAddress(configuration.discoveryAddress()));
        out.writeStringField("seed", Integer.toHexString(configuration.nodeIndex() + 1));
        out.writeObjectFieldStart("limits");
        out.writeNumberField("sockets", 1024);
        out.writeNumberField("memory_mb", NodeProcess.MEMORY_LIMIT_MEGABYTES);
        out.writeEndObject();
        writeSettings(configuration);
        out.writeEndObject();
    }

    private void writeSettings(NodeConfiguration configuration) throws IOException {
        out.writeObjectFieldStart("settings");
        out.writeNumberField("my-number", configuration.nodeIndex());
        out.writeNumberField("replicas-of-me", configuration.nodeCount());
        out.writeStringField("registry-mode", "subscribe");
        out.writeNumberField("tick-ns", 5 * NANOS_PER_MILLI);
        writeStrings("localities", configuration.zones());
        writeStrings("host-types", configuration.profiles());
        out.writeArrayFieldStart("profiles");
        writeRequestClass(NodeProcess.IDEMPOTENT_CLASS, "safe");
        writeRequestClass(NodeProcess.NON_IDEMPOTENT_CLASS, "unsafe");
        out.writeEndArray();
        writeLimits();
        writeRules();
        writeObjectives();
        out.writeEndObject();
    }

    private void writeRequestClass(String name, String effect) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeStringField("effect", effect);
        out.writeStringField("group", "all");
        out.writeNumberField("on-time-ns", 1500 * NANOS_PER_MILLI);
        out.writeNumberField("deadline-ns", 7500 * NANOS_PER_MILLI);
        out.writeNumberField("late-worth", 0.25);
        out.writeNumberField("credit", 1.0);
        out.writeBooleanField("stream", true);
        out.writeEndObject();
    }

    private void writeLimits() throws IOException {
        out.writeObjectFieldStart("limits");
        out.writeNumberField("most-tries", 6);
        out.writeNumberField("most-held", 2000);
        out.writeBooleanField("may-cancel", true);
        out.writeBooleanField("retry-after", true);
        out.writeNumberField("max-retry-after-ns", 2 * NANOS_PER_SECOND);
        out.writeNumberField("connect-timeout-ns", 250 * NANOS_PER_MILLI);
        out.writeNumberField("conn-idle-ns", 15 * NANOS_PER_SECOND);
        out.writeEndObject();
    }

    private void writeRules() throws IOException {
        out.writeObjectFieldStart("rules");
        out.writeNumberField("ask-within-ns", 10 * NANOS_PER_SECOND);
        out.writeNumberField("drain-grace-ns", 750 * NANOS_PER_MILLI);
        out.writeNumberField("cold-from", 0.36);
        out.writeNumberField("cold-ns", 8900 * NANOS_PER_MILLI);
        out.writeNumberField("tip-multiple", 4.0);
        out.writeNumberField("fall-ns", 3 * NANOS_PER_SECOND);
        out.writeEndObject();
    }

    private void writeObjectives() throws IOException {
        out.writeObjectFieldStart("family-info");
        out.writeArrayFieldStart("token-aim-ns");
        out.writeNumber(50 * NANOS_PER_MILLI);
        out.writeEndArray();
        out.writeArrayFieldStart("aim-us-per-1000-prompt-tokens");
        out.writeNumber(60_000);
        out.writeEndArray();
        out.writeEndObject();
    }

    private void writeStrings(String name, List<String> values) throws IOException {
        out.writeArrayFieldStart(name);
        for (String value : values) {
            out.writeString(value);
        }
        out.writeEndArray();
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ':' + address.getPort();
    }
}
