package fawnlb.lab.node;

import fawnlb.lab.net.Ports;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A real node in a process of its own, started by the command in deploy/balancer.toml. It can be started again after
 * its end. Methods that measure or signal need a started process. Instances are not thread-safe.
 */
public final class NodeProcess implements AutoCloseable {
    /** Request class whose requests may be repeated. */
    public static final String IDEMPOTENT_CLASS = "advisor-chat";
    /** Request class whose requests must not run twice. */
    public static final String NON_IDEMPOTENT_CLASS = "ledger-entry";

    /** The least that the operators' pages name. */
    public static final int MEMORY_LIMIT_MEGABYTES = 160;

    private static final String DEPLOY_FILE = "deploy/balancer.toml";
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final int READY_CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READY_READ_TIMEOUT_MILLIS = 2000;
    private static final String READY_STATUS = "HTTP/1.1 200";
    private static final int KILL_TIMEOUT_SECONDS = 5;

    private final String name;
    private final InetSocketAddress address;
    private final Path directory;
    private Map<String, String> environment = Map.of();
    private Process process;

    /**
     * Prepares a node that listens on a free port and keeps its files in this directory.
     *
     * @throws IOException if no free port is found
     */
    public NodeProcess(String name, Path directory) throws IOException {
        this.name = name;
        this.directory = directory;
        this.address = new InetSocketAddress("127.0.0.1", Ports.findFreePort());
    }

    /** Returns the name under which reports and rules know the node. */
    public String name() {
        return name;
    }

    /** Returns where the node listens for clients. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns the root of the repository: the first directory from the working directory upwards with a deploy file.
     *
     * @throws IOException if there is none
     */
    public static Path findRepositoryRoot() throws IOException {
        for (Path candidate = Path.of("").toAbsolutePath(); candidate != null; candidate = candidate.getParent()) {
            if (Files.exists(candidate.resolve(DEPLOY_FILE))) {
                return candidate;
            }
        }
        throw new IOException("no " + DEPLOY_FILE + " here or above: run this inside the repository");
    }

    /** Returns the command of the deploy file that starts a node. */
    public static String readRunCommand() throws IOException {
        Matcher line = RUN_COMMAND.matcher(Files.readString(findRepositoryRoot().resolve(DEPLOY_FILE)));
        if (!line.find()) {
            throw new IOException(DEPLOY_FILE + " has no 'run'");
        }
        return line.group(1);
    }

    /**
     * Starts the node.
     *
     * @param operatorFiles contents of the operators' files by the option that names them, such as {@code streams}
     */
    public void start(NodeConfiguration configuration, Map<String, String> operatorFiles) throws IOException {
        start(readRunCommand(), configuration, operatorFiles);
    }

    /** Starts the node by a command other than the deploy file's. */
    public void start(String command, NodeConfiguration configuration, Map<String, String> operatorFiles)
            throws IOException {
        Path configFile = directory.resolve(name + ".json");
        NodeConfigurationWriter.write(configFile, name, address, configuration);
        StringBuilder commandLine = new StringBuilder(command + " --config " + configFile);
        for (Map.Entry<String, String> operatorFile : operatorFiles.entrySet()) {
            String option = operatorFile.getKey();
            Path file = Files.writeString(directory.resolve(name + '-' + option + ".json"), operatorFile.getValue());
            commandLine.append(" --").append(option).append(' ').append(file);
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", commandLine.toString())
                .directory(findRepositoryRoot().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().putAll(environment);
        process = builder.start();
    }

    private Path logFile() {
        return directory.resolve(name + ".log");
    }

    /** Sets variables that the process has in addition to the environment of this one, from its next start on. */
    public void setEnvironment(Map<String, String> variables) {
        environment = Map.copyOf(variables);
    }

    /** Sends a signal by its name, such as {@code TERM}. */
    public void sendSignal(String signalName) throws IOException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start();
    }

    /** Waits for the end of the process and returns its status, or -1 if it still runs after the timeout. */
    public int awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the resident memory of the process. */
    public long residentBytes() throws IOException {
        return statistics().residentBytes();
    }

    /** Returns the largest resident memory that the process has had. */
    public long peakResidentBytes() throws IOException {
        return statistics().peakResidentBytes();
    }

    /** Returns the processor time that the process has used. */
    public double cpuSeconds() throws IOException {
        return statistics().cpuSeconds();
    }

    /** Returns the number of descriptors that are open in the process. */
    public int openDescriptors() {
        return statistics().openDescriptors();
    }

    private ProcessStatistics statistics() {
        return new ProcessStatistics(process.pid());
    }

    /** Returns whether the process has been started and has not ended. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the node reports readiness. */
    public boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, READY_CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(READY_READ_TIMEOUT_MILLIS);
            byte[] request = "GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(request);
            InputStream in = socket.getInputStream();
            String status = new String(in.readNBytes(READY_STATUS.length()), StandardCharsets.US_ASCII);
            return status.equals(READY_STATUS);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what the node has written to its log, over all its starts. */
    public String readLog() throws IOException {
        return Files.readString(logFile());
    }

    /** Kills the process if it runs. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
