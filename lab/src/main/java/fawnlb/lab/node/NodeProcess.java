package fawnlb.lab.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fawnlb.lab.net.Ports;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real node in a process of its own, started as the deploy file says. */
public final class NodeProcess implements AutoCloseable {
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");

    private static final Pattern RESIDENT_MEMORY = Pattern.compile("(?m)^VmRSS:\\s*(\\d+) kB$");
    private static final Pattern PEAK_MEMORY = Pattern.compile("(?m)^VmHWM:\\s*(\\d+) kB$");
    /**
     * Of a process's line in /proc, behind its name: where its ticks as user and as system stand; a tick is 10 ms on
     * Linux.
     */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final double SECONDS_PER_TICK = 0.01;

    /** Classes of request: one that may be repeated, and one that may run once alone. */
    public static final String IDEMPOTENT_CLASS = "advisor-chat";

    public static final String NON_IDEMPOTENT_CLASS = "ledger-entry";

    private final String name;
    private final InetSocketAddress address;
    private final Path directory;
    private Map<String, String> environment = Map.of();
    private Process process;

    /** Which of how many nodes it is, where its roster is, and the rules' figures that it is told. */
    public record NodeConfiguration(
            int nodeIndex,
            int nodeCount,
            InetSocketAddress discoveryAddress,
            List<String> zones,
            List<String> profiles) {}

    public NodeProcess(String name, Path directory) throws IOException {
        this.name = name;
        this.directory = directory;
        this.address = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Where the repository is: the first folder above this one that has a deploy file. */
    public static Path findRepositoryRoot() throws IOException {
        for (Path candidate = Path.of("").toAbsolutePath(); candidate != null; candidate = candidate.getParent()) {
            if (Files.exists(candidate.resolve("deploy/balancer.toml"))) {
                return candidate;
            }
        }
        throw new IOException("no deploy/balancer.toml here or above: run this inside the repository");
    }

    /** The command that starts a node. */
    public static String readRunCommand() throws IOException {
        Matcher line = RUN_COMMAND.matcher(Files.readString(findRepositoryRoot().resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no 'run'");
        }
        return line.group(1);
    }

    /**
     * Starts it; {@code operatorFiles}: texts of operators' files by the option that names them, such as
     * {@code streams}.
     */
    public void start(NodeConfiguration configuration, Map<String, String> operatorFiles) throws IOException {
        start(readRunCommand(), configuration, operatorFiles);
    }

    /** Starts it by another command. */
    public void start(String command, NodeConfiguration configuration, Map<String, String> operatorFiles)
            throws IOException {
        Path config = directory.resolve(name + ".json");
        writeConfig(config, configuration);
        StringBuilder commandLine = new StringBuilder(command + " --config " + config);
        for (Map.Entry<String, String> operatorFile : operatorFiles.entrySet()) {
            Path file = Files.writeString(
                    directory.resolve(name + '-' + operatorFile.getKey() + ".json"), operatorFile.getValue());
            commandLine.append(" --").append(operatorFile.getKey()).append(' ').append(file);
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", commandLine.toString())
                .directory(findRepositoryRoot().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(directory.toFile(), name + ".log")));
        builder.environment().putAll(environment);
        process = builder.start();
    }

    /** What its process has in its environment beside ours, from its next start on. */
    public void setEnvironment(Map<String, String> variables) {
        environment = Map.copyOf(variables);
    }

    /** Sends a signal by its name. */
    public void sendSignal(String signalName) throws IOException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start();
    }

    /** Waits for its end; its status, -1 if it still runs. */
    public int awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    public long pid() {
        return process.pid();
    }

    /** Bytes of memory that the process has at the moment, as Linux counts them. */
    public long residentBytes() throws IOException {
        return readStatusBytes(RESIDENT_MEMORY);
    }

    /** The most that it has had. */
    public long peakResidentBytes() throws IOException {
        return readStatusBytes(PEAK_MEMORY);
    }

    private long readStatusBytes(Pattern line) throws IOException {
        Matcher found = line.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        return found.find() ? Long.parseLong(found.group(1)) * 1024 : 0;
    }

    /** Processor time of the process so far, in seconds. */
    public double cpuSeconds() throws IOException {
        String line = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
                * SECONDS_PER_TICK;
    }

    /** Descriptors that are open in the process. */
    public int openDescriptors() {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        return open == null ? 0 : open.length;
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Whether it says that it is ready. */
    public boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes(12), StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** What its log says. */
    public String readLog() throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    private void writeConfig(Path file, NodeConfiguration configuration) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            out.writeStartObject();
            out.writeStringField("name", name);
            out.writeStringField("listen", formatAddress(address));
            out.writeStringField("discovery", formatAddress(configuration.discoveryAddress()));
            out.writeStringField("seed", Integer.toHexString(configuration.nodeIndex() + 1));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("sockets", 4096);
            out.writeEndObject();
            out.writeObjectFieldStart("settings");
            out.writeNumberField("my-number", configuration.nodeIndex());
            out.writeNumberField("replicas-of-me", configuration.nodeCount());
            out.writeStringField("registry-mode", "subscribe");
            out.writeNumberField("tick-ns", 5_000_000);
            writeStrings(out, "localities", configuration.zones());
            writeStrings(out, "host-types", configuration.profiles());
            writeClasses(out);
            out.writeFieldName("limits");
            writeObject(
                    out,
                    Map.of(
                            "most-tries",
                            6,
                            "most-held",
                            2000,
                            "may-cancel",
                            true,
                            "retry-after",
                            true,
                            "max-retry-after-ns",
                            2_000_000_000L,
                            "connect-timeout-ns",
                            250_000_000,
                            "conn-idle-ns",
                            15_000_000_000L));
            out.writeFieldName("rules");
            writeObject(
                    out,
                    Map.of(
                            "ask-within-ns",
                            10_000_000_000L,
                            "drain-grace-ns",
                            750_000_000,
                            "cold-from",
                            0.36,
                            "cold-ns",
                            8_900_000_000L,
                            "tip-multiple",
                            4.0,
                            "fall-ns",
                            3_000_000_000L));
            out.writeObjectFieldStart("family-info");
            out.writeArrayFieldStart("token-aim-ns");
            out.writeNumber(50_000_000);
            out.writeEndArray();
            out.writeArrayFieldStart("aim-us-per-1000-prompt-tokens");
            out.writeNumber(60_000);
            out.writeEndArray();
            out.writeEndObject();
            out.writeEndObject();
            out.writeEndObject();
        }
    }

    private static void writeClasses(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("profiles");
        for (String[] requestClass : new String[][] {{IDEMPOTENT_CLASS, "safe"}, {NON_IDEMPOTENT_CLASS, "unsafe"}}) {
            writeObject(
                    out,
                    Map.of(
                            "name",
                            requestClass[0],
                            "effect",
                            requestClass[1],
                            "group",
                            "all",
                            "on-time-ns",
                            1_500_000_000L,
                            "deadline-ns",
                            7_500_000_000L,
                            "late-worth",
                            0.25,
                            "credit",
                            1.0,
                            "stream",
                            true));
        }
        out.writeEndArray();
    }

    private static void writeStrings(JsonGenerator out, String name, List<String> values) throws IOException {
        out.writeArrayFieldStart(name);
        for (String value : values) {
            out.writeString(value);
        }
        out.writeEndArray();
    }

    private static void writeObject(JsonGenerator out, Map<String, Object> fields) throws IOException {
        out.writeStartObject();
        for (Map.Entry<String, Object> field : fields.entrySet()) {
            out.writeFieldName(field.getKey());
            out.writeObject(field.getValue());
        }
        out.writeEndObject();
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getHostString() + ':' + address.getPort();
    }

    /** Kills it outright. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
