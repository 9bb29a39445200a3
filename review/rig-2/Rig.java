import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of this review share: the node as a process, and stand-ins for discovery, engines and clients that
 * follow the protocol page. A case extends it, plays its run, and returns whether the rule was held.
 */
abstract class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path folder;
    final Path scratch;
    final boolean trouble;
    final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();

    Rig(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath();
        folder = Path.of(args[1]).toAbsolutePath();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        scratch = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        say("run with trouble: " + trouble);
        // Where the run itself is ended by a signal, its node must not stay.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(NOT_RUN)));
    }

    /** Plays the case; returns HELD, BROKEN or NOT_RUN. */
    abstract int play() throws Exception;

    final void runAndExit() {
        int result = NOT_RUN;
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(112_000);
                say("the case took too long");
                end(NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
        try {
            result = play();
        } catch (Throwable e) {
            say("could not run: " + e);
            for (StackTraceElement line : e.getStackTrace()) {
                say("    " + line);
            }
        }
        end(result);
    }

    /** Ends all that was started, and the process, without its shutdown hooks. */
    private synchronized void end(int result) {
        for (AutoCloseable each : opened) {
            try {
                each.close();
            } catch (Exception e) {
                say("not closed: " + e);
            }
        }
        say("result " + result + (result == HELD ? " (held)" : result == BROKEN ? " (broken)" : " (not run)"));
        try (var files = Files.walk(scratch)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            say("scratch folder stays: " + e);
        }
        Runtime.getRuntime().halt(result);
    }

    final long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    final synchronized void say(String line) {
        String text = String.format(Locale.ROOT, "%7d ms  %s", millis(), line);
        record.println(text);
        System.out.println(text);
    }

    final <T extends AutoCloseable> T own(T resource) {
        opened.add(resource);
        return resource;
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    // ---- The node ------------------------------------------------------------------------------------------

    /** One node, started with the command of the deploy file. */
    final class Node implements AutoCloseable {
        final Process process;
        final int port;
        final Path log;

        /** @param arguments what follows the command of the deploy file, such as an operators' file */
        Node(String name, int port, String configuration, String arguments) throws IOException {
            this.port = port;
            Path home = Files.createTempDirectory(scratch, name);
            Path file = home.resolve("config.json");
            Files.writeString(file, configuration);
            log = home.resolve("log.txt");
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + (arguments.isEmpty() ? "" : " " + arguments));
            builder.directory(root.toFile());
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("TMPDIR", home.toString());
            builder.environment().remove("PROXY_LISTEN");
            builder.environment().remove("PROXY_DISCOVERY");
            builder.environment().remove("PROXY_NAME");
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = own(this).start(builder);
            say("node " + name + " started, process " + process.pid());
        }

        private Process start(ProcessBuilder builder) throws IOException {
            return builder.start();
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the node has ended: " + Files.readString(log));
                }
                try (Client client = new Client(port)) {
                    client.send("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n");
                    if (client.read(1000).status == 200) {
                        say("node is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(100);
            }
            throw new IllegalStateException("the node is not ready: " + Files.readString(log));
        }

        void signal(String name) throws Exception {
            say("SIG" + name + " to process " + process.pid());
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + ' ' + process.pid()).start().waitFor();
        }

        /** Copies the lines of the node's log that match into the record. */
        void quoteLog(String pattern) throws IOException {
            Pattern wanted = Pattern.compile(pattern);
            Files.readAllLines(log).stream().filter(line -> wanted.matcher(line).find()).limit(40)
                    .forEach(line -> say("log: " + line));
        }

        @Override
        public void close() throws Exception {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                process.waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    private String deployCommand(String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("no command " + key);
        }
        return matcher.group(1);
    }

    // ---- Connections ---------------------------------------------------------------------------------------

    /** A head and a body, of a request or of a response. */
    static final class Message {
        String firstLine = "";
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether the message has ended as its framing says. */
        boolean whole;
        boolean timedOut;
        long endedAt;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads messages from a connection, strictly enough for the peers of a test. */
    static Message readMessage(InputStream in, boolean isResponse) throws IOException {
        Message message = new Message();
        message.firstLine = readLine(in);
        if (message.firstLine == null) {
            return null;
        }
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (isResponse) {
            message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                message.whole = readChunks(in, body);
            } else if (!message.header("content-length").isEmpty()) {
                int length = Integer.parseInt(message.header("content-length"));
                body.write(in.readNBytes(length));
                message.whole = body.size() == length;
            } else {
                message.whole = true;
            }
        } finally {
            message.body = body.toByteArray();
            message.endedAt = System.nanoTime();
        }
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        try {
            for (String line = readLine(in); line != null; line = readLine(in)) {
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                if (chunk.length < size || readLine(in) == null) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return false;
        }
        return false;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }

    /** A client's connection to a node. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /** Reads one response; status 0 if the connection ended before one, -1 if nothing came in time. */
        Message read(int timeoutMillis) {
            Message none = new Message();
            try {
                socket.setSoTimeout(timeoutMillis);
                Message message = readMessage(in, true);
                return message == null ? none : message;
            } catch (java.net.SocketTimeoutException e) {
                none.status = -1;
                none.timedOut = true;
                return none;
            } catch (IOException e) {
                return none;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The text of a platform request as the protocol page shows it. */
    static String platformRequest(String id, String requestClass, String key, long deadlineMillis, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + requestClass + "\r\nX-Key: " + key + "\r\nX-Deadline-Ms: " + deadlineMillis
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    static final String CHAT_BODY = "{\"model\":\"advisor\",\"stream\":true,\"max_tokens\":50,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"What now?\"}]}";

    // ---- Discovery -----------------------------------------------------------------------------------------

    /** The stand-in for discovery: the whole list, and watches of its changes. */
    final class Discovery implements AutoCloseable {
        private final ServerSocket server;
        private final Map<String, String> members = new LinkedHashMap<>();
        private final List<String[]> changes = new ArrayList<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private long revision;
        private volatile boolean closed;

        Discovery() throws IOException {
            this(0);
        }

        Discovery(int port) throws IOException {
            server = own(this).listen(port);
            daemon(this::accept);
        }

        private ServerSocket listen(int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(LOOPBACK, port), 100);
            return socket;
        }

        int port() {
            return server.getLocalPort();
        }

        /** Adds or changes a member; one whose phase is gone is listed among the changes alone. */
        synchronized void set(String id, int port, String zone, String kind, int cell, String phase, long upSince) {
            String member = String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"%s\",\"flavor\":\"%s\",\"cell\":%d,"
                            + "\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
                    id, port, zone, kind, cell, phase, upSince);
            if (phase.equals("gone")) {
                members.remove(id);
            } else {
                members.put(id, member);
            }
            revision++;
            changes.add(new String[] {Long.toString(revision), member});
            say("discovery has revision " + revision + ": " + id + " " + phase);
            notifyAll();
        }

        synchronized String member(String id) {
            return members.get(id);
        }

        synchronized long revision() {
            return revision;
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                for (Message call = readMessage(socket.getInputStream(), false);
                        call != null;
                        call = readMessage(socket.getInputStream(), false)) {
                    if (call.firstLine.contains("watch=1")) {
                        watch(call.firstLine, socket.getOutputStream());
                        return;
                    }
                    byte[] list = whole().getBytes(StandardCharsets.UTF_8);
                    write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + list.length + "\r\n\r\n" + new String(list, StandardCharsets.UTF_8));
                }
            } catch (IOException | InterruptedException e) {
                // The node has closed the call, or the case has ended.
            }
        }

        private synchronized String whole() {
            return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", members.values())
                    + "]}";
        }

        private void watch(String firstLine, OutputStream out) throws IOException, InterruptedException {
            Matcher from = Pattern.compile("from=(\\d+)").matcher(firstLine);
            long known = from.find() ? Long.parseLong(from.group(1)) : 0;
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            String first;
            synchronized (this) {
                first = known == revision ? "" : whole();
                known = revision;
            }
            chunk(out, first + "\n");
            while (!closed) {
                String line;
                synchronized (this) {
                    if (known == revision) {
                        wait(2000);
                    }
                    long since = known;
                    List<String> entries = new ArrayList<>();
                    for (String[] change : changes) {
                        if (Long.parseLong(change[0]) > since) {
                            entries.add(change[1]);
                        }
                    }
                    known = revision;
                    line = entries.isEmpty() ? "" : "{\"revision\":" + revision + ",\"complete\":false,\"members\":["
                            + String.join(",", entries) + "]}";
                }
                chunk(out, line + "\n");
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            if (server != null) {
                server.close();
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
    }

    // ---- Engines -------------------------------------------------------------------------------------------

    /** What an engine does with a request whose last byte has arrived. */
    interface Work {
        /** Answers on the connection; returns whether the connection can carry another request. */
        boolean answer(Message request, Socket socket) throws Exception;
    }

    /** The stand-in for an engine: it reads whole requests, and answers one at a time on a connection. */
    final class Engine implements AutoCloseable {
        final String name;
        private final ServerSocket server;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private volatile Work work;
        private volatile boolean closed;

        Engine(String name, Work work) throws IOException {
            this.name = name;
            this.work = work;
            server = own(this).listen();
            daemon(this::accept);
        }

        private ServerSocket listen() throws IOException {
            return new ServerSocket(0, 200, LOOPBACK);
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                for (Message request = readMessage(in, false); request != null; request = readMessage(in, false)) {
                    if (!request.whole || !work.answer(request, socket)) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The node has closed the connection, or the case has ended.
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            if (server != null) {
                server.close();
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    static String textEvent(String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":null}]}\n\n";
    }

    static final String LAST_EVENTS = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
            + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":4,"
            + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";

    /** Sends a whole stream of some events, with a pause before each. */
    static boolean stream(Socket socket, int events, long pauseMillis) throws Exception {
        OutputStream out = socket.getOutputStream();
        for (int i = 0; i < events; i++) {
            sleep(pauseMillis);
            if (i == 0) {
                write(out, STREAM_HEAD);
            }
            chunk(out, textEvent("word" + i + " "));
        }
        chunk(out, LAST_EVENTS);
        write(out, "0\r\n\r\n");
        return true;
    }

    /** A configuration like that of a small deployment, as the deployment page shows it. */
    static String configuration(int listen, int discovery, int sockets, String zones, String kinds, String profiles) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":{\"revision\":0,\"complete\":true,\"members\":[]},\"settings\":{\"az\":0,"
                + "\"my-number\":0,\"replicas-of-me\":1,\"tier\":0,\"tick-ns\":5000000,\"registry-mode\":\"subscribe\","
                + "\"localities\":[" + zones + "],\"host-types\":[" + kinds + "],\"profiles\":[" + profiles + "],"
                + "\"family\":\"llm\",\"family-info\":{\"resume\":false,"
                + "\"aim-us-per-1000-prompt-tokens\":[60000.0],\"token-aim-ns\":[50000000]},"
                + "\"costs\":{\"cross-zone\":0.03,\"handshake\":0.02,\"late-fail\":0.066,\"probe\":0.002,"
                + "\"waste\":0.018},\"limits\":{\"conn-idle-ns\":15000000000,\"connect-timeout-ns\":250000000,"
                + "\"max-retry-after-ns\":2000000000,\"may-cancel\":true,\"most-held\":2000,\"most-tries\":6,"
                + "\"multiplex\":1,\"peers\":false,\"probing\":true,\"retry-after\":true,\"second-copies\":false},"
                + "\"report\":{\"fields\":[\"waiting\"],\"how\":\"probe\"},\"rules\":{\"answer-slack-ns\":20000000,"
                + "\"ask-within-ns\":10000000000,\"cold-from\":0.36,\"cold-ns\":8900000000,"
                + "\"drain-grace-ns\":750000000,\"fall-ns\":3000000000,\"tip-multiple\":4.0}}}";
    }

    static String profile(String name, String effect, String group) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group
                + "\",\"credit\":1.0,\"deadline-ns\":7500000000,\"late-worth\":0.25,\"on-time-ns\":1500000000,"
                + "\"stream\":true,\"window-ns\":5000000000}";
    }
}
