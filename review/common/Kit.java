import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What all cases share: the record, the verdict, free ports, the node's process and its configuration. */
final class Kit {
    /** Exit statuses that no failure of the Java launcher has; run.sh turns them into 0, 1 and 2. */
    static final int HELD = 20;

    static final int BROKEN = 21;
    static final int COULD_NOT_RUN = 22;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static final long STARTED_AT = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter record;
    private static Path root;
    private static Path folder;
    private static Path temporary;

    private Kit() {}

    /** The body of a case. Returns whether the rule held. */
    interface Body {
        boolean run() throws Exception;
    }

    /** Runs a case: arguments are the repository's root, the case's folder and a temporary folder. */
    static void main(String[] arguments, Body body) {
        int code = COULD_NOT_RUN;
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
        try {
            root = Path.of(arguments[0]);
            folder = Path.of(arguments[1]);
            temporary = Path.of(arguments[2]);
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
            record("disruption %s", TROUBLE ? "on" : "off");
            code = body.run() ? HELD : BROKEN;
        } catch (Throwable failure) {
            if (record != null) {
                record("could not run: %s", failure);
                failure.printStackTrace(record);
            }
            failure.printStackTrace();
        } finally {
            endProcesses();
        }
        String verdict = code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run";
        if (record != null) {
            record("verdict: %s", verdict);
        }
        System.out.println(verdict);
        Runtime.getRuntime().halt(code);
    }

    /** Milliseconds since the case began. */
    static long nowMs() {
        return (System.nanoTime() - STARTED_AT) / 1_000_000;
    }

    static void record(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%7d ms  %s", nowMs(), String.format(Locale.ROOT, format, values));
        synchronized (Kit.class) {
            record.println(line);
        }
    }

    static void sleepMs(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    /** Sleeps until this time of {@link #nowMs}. */
    static void sleepUntilMs(long atMs) throws InterruptedException {
        sleepMs(atMs - nowMs());
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                record("%s ended: %s", name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static Path temporaryFile(String name) {
        return temporary.resolve(name);
    }

    static Path root() {
        return root;
    }

    // ---- Processes ---------------------------------------------------------------------------------------------

    /** Starts the node by {@code run} of the deploy file, with its configuration in $PROXY_CONFIG. */
    static Process startNode(Path configuration, String moreArguments, String logName) throws IOException {
        String run = deployCommand("run") + moreArguments;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().put("PROXY_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        for (String name : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
            builder.environment().remove(name);
        }
        Path log = temporary.resolve(logName);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
        record("node started, pid %d%s", process.pid(), moreArguments);
        return process;
    }

    private static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        record("SIG%s to pid %d", name, process.pid());
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Whether the node's log holds this text. */
    static boolean hasLogged(String logName, String text) throws IOException {
        return Files.readString(temporary.resolve(logName), StandardCharsets.ISO_8859_1).contains(text);
    }

    static void copyLog(String logName) throws IOException {
        Path log = temporary.resolve(logName);
        if (Files.exists(log)) {
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                record("node's log: %s", line);
            }
        }
    }

    static void endProcesses() {
        synchronized (PROCESSES) {
            for (Process process : PROCESSES) {
                process.destroyForcibly();
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Waits until the node's readiness is 200. */
    static void awaitReady(Process node, int port) throws Exception {
        long deadline = nowMs() + 30_000;
        while (nowMs() < deadline) {
            if (!node.isAlive()) {
                throw new IOException("the node ended with " + node.exitValue());
            }
            try (Client client = new Client(port, 1000)) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                if (client.readResponse().status == 200) {
                    record("node ready");
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            sleepMs(50);
        }
        throw new IOException("the node was not ready within 30 s");
    }

    // ---- Configuration -----------------------------------------------------------------------------------------

    /** Settings like those of the pages' small deployment; keys are changed by the cases. */
    static Map<String, String> settings() {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("deadlineNs", "7500000000");
        values.put("effect", "\"safe\"");
        values.put("mostTries", "6");
        values.put("members", "");
        values.put("revision", "0");
        values.put("registryMode", "\"subscribe\"");
        values.put("sockets", "1024");
        values.put("group", "\"all\"");
        values.put("localities", "\"regina-east\",\"saskatoon-north\"");
        return values;
    }

    static String configuration(int listenPort, int discoveryPort, Map<String, String> values) {
        return """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%s},
                 "known":{"revision":%s,"complete":true,"members":[%s]},
                 "settings":{"az":0,"my-number":0,"replicas-of-me":1,"tier":0,"stages":["advisor-pool"],
                  "family":"llm","family-info":{"aim-us-per-1000-prompt-tokens":[60000.0],"resume":false,
                   "token-aim-ns":[50000000]},
                  "host-types":["full-rate","slow-rate"],"localities":[%s],
                  "registry-mode":%s,"tick-ns":5000000,"weight-source":"none","worth-by":"work",
                  "costs":{"cross-zone":0.03,"waste":0.018,"probe":0.002,"handshake":0.02,"late-fail":0.066},
                  "limits":{"most-tries":%s,"most-held":2000,"may-cancel":true,"second-copies":false,"multiplex":1,
                   "probing":true,"peers":false,"retry-after":true,"max-retry-after-ns":2000000000,
                   "connect-timeout-ns":250000000,"conn-idle-ns":15000000000},
                  "profiles":[{"name":"advisor-chat","effect":%s,"group":%s,"window-ns":5000000000,
                   "on-time-ns":1500000000,"deadline-ns":%s,"late-worth":0.25,"credit":1.0,"stream":true}],
                  "report":{"how":"probe","fields":["waiting"]},
                  "rules":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"cold-from":0.36,
                   "cold-ns":8900000000,"drain-grace-ns":750000000,"tip-multiple":4.0,"fall-ns":3000000000}}}
                """
                .formatted(
                        listenPort,
                        discoveryPort,
                        values.get("sockets"),
                        values.get("revision"),
                        values.get("members"),
                        values.get("localities"),
                        values.get("registryMode"),
                        values.get("mostTries"),
                        values.get("effect"),
                        values.get("group"),
                        values.get("deadlineNs"));
    }

    /** The file of the messages front: one team, with this budget of tokens a minute. */
    static String teams(int port, long tokens) {
        return "{\"listen\":\"127.0.0.1:" + port + "\",\"message-kinds\":[],\"teams\":[{\"name\":\"map-service\","
                + "\"key\":\"map-key\",\"classes\":[\"advisor-chat\"],\"models\":[\"advisor\"],\"deadline-ms\":7500,"
                + "\"budget\":{\"requests\":600,\"tokens\":" + tokens + ",\"window-ms\":60000}}]}";
    }

    /** Replaces a file as an operator would: the new one is complete when it takes the name. */
    static Path writeFile(String name, String text) throws IOException {
        Path file = temporary.resolve(name);
        Path next = temporary.resolve(name + ".next");
        Files.writeString(next, text);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        return file;
    }

    /** A client's request as the protocol page shows it. */
    static String request(String id, String session, long deadlineMs, String moreHeaders, String prompt) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":400,\"messages\":[{\"role\":\"user\","
                + "\"content\":\"" + prompt + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id
                + "\r\nX-Class: advisor-chat\r\nX-Key: " + session + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
                + moreHeaders + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.isEmpty()) {
                    return null;
                }
                throw new IOException("the connection ended within a line");
            }
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) next);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
