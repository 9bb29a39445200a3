package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program in a process of its own, with the command line of the deploy file; it is killed when the test ends. */
final class ServerProcess implements AutoCloseable {
    private static final Path DEPLOY_FILE = Path.of("../deploy/balancer.toml");
    /** The environment and the options of the command line in the deploy file. */
    private static final Pattern COMMAND_LINE =
            Pattern.compile("(?m)^run = \"((?:[A-Z_]+=\\S+ )*)exec java (.*) serve\"$");

    private static final Pattern PEAK_MEMORY = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$");

    private static final String NO_SHELL_COMMAND = "";
    private static final String PLATFORM_ADDRESS_KEY = "platform_address";
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Process process;
    private final BufferedReader log;

    private ServerProcess(Process process) {
        this.process = process;
        this.log = process.inputReader();
    }

    /** Starts a command of the program, such as {@code serve}. */
    static ServerProcess start(String command, String... arguments) throws IOException {
        return startAfter(NO_SHELL_COMMAND, command, arguments);
    }

    /** Starts a command in a shell that has run another command, such as {@code ulimit -n 200}. */
    static ServerProcess startAfter(String shellCommand, String command, String... arguments) throws IOException {
        Matcher matcher = COMMAND_LINE.matcher(Files.readString(DEPLOY_FILE));
        assertTrue(matcher.find());
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String script = shellCommand + "\n" + matcher.group(1) + "exec " + java + ' ' + matcher.group(2) + ' ' + command
                + ' ' + String.join(" ", arguments);
        return new ServerProcess(new ProcessBuilder("/bin/sh", "-c", script)
                .directory(new File(".."))
                .redirectErrorStream(true)
                .start());
    }

    static ServerProcess serve(Path config) throws IOException {
        return serveAfter(NO_SHELL_COMMAND, config);
    }

    static ServerProcess serveAfter(String shellCommand, Path config) throws IOException {
        return startAfter(shellCommand, "serve", "--config", config.toString());
    }

    /** Serves with a file of startup settings. */
    static ServerProcess serveAfter(String shellCommand, Path config, Path startup) throws IOException {
        return startAfter(shellCommand, "serve", "--config", config.toString(), "--start", startup.toString());
    }

    /** Runs a command to its end, which must come with an exit code, and returns its output. */
    static String outputOf(int expectedExitCode, String command, String... arguments) throws Exception {
        try (ServerProcess server = start(command, arguments)) {
            String output = server.readLogToEnd();
            assertTrue(server.process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(output, expectedExitCode, server.process.exitValue());
            return output;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the largest memory that the process has had resident. */
    long peakMemoryMegabytes() throws IOException {
        Matcher matcher = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc/" + pid() + "/status")));
        assertTrue(matcher.find());
        return Long.parseLong(matcher.group(1)) / 1024;
    }

    long pid() {
        return process.pid();
    }

    /** Waits for the process to end by itself; returns its exit code. */
    int awaitExit(int timeoutSeconds) throws InterruptedException {
        assertTrue("ends by itself", process.waitFor(timeoutSeconds, TimeUnit.SECONDS));
        return process.exitValue();
    }

    /** Reads the log up to a line that contains a text; returns all that was read. */
    String readLogUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            read.append(line).append('\n');
            if (line.contains(text)) {
                return read.toString();
            }
        }
        throw new IOException("the process ended without '" + text + "' in its log");
    }

    /** Reads the rest of the log, with all ends of its lines. */
    String readLogToEnd() throws IOException {
        StringWriter rest = new StringWriter();
        log.transferTo(rest);
        return rest.toString();
    }

    /** Sends a signal; unlike {@link Process#destroy}, it leaves the log to be read. */
    void signal(String name) throws Exception {
        String pid = Long.toString(process.pid());
        assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
    }

    /** Waits until the server serves, and returns its port. */
    int awaitPort() throws IOException {
        return awaitPort(PLATFORM_ADDRESS_KEY);
    }

    /** Waits for the log line with a listener's address, and returns the address's port. */
    int awaitPort(String addressKey) throws IOException {
        Pattern address = Pattern.compile(addressKey + "=/?127\\.0\\.0\\.1:(\\d+)");
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher matcher = address.matcher(line);
            if (matcher.find()) {
                return Integer.parseInt(matcher.group(1));
            }
        }
        throw new IOException("the process ended and never served");
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** Sends a request and returns all that the server sends until it closes the connection. */
    static String exchange(int port, String request) throws IOException {
        try (Socket client = connect(port)) {
            write(client, request);
            return ServerHarness.readToEnd(client);
        }
    }

    static boolean isReady(int port) throws IOException {
        return exchange(port, Requests.READINESS).startsWith("HTTP/1.1 200");
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        log.close();
    }
}
