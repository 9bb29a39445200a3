import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in for an engine: one thread a connection, one request at a time on it. */
final class Engine {
    /** A request whose last byte has arrived: an attempt, as the protocol page counts them. */
    record Attempt(String id, long atMs, int number) {}

    /** What the engine does with a request. */
    interface Behaviour {
        /** Answers, or ends the connection by an exception. */
        void answer(Attempt attempt, OutputStream out) throws IOException, InterruptedException;
    }

    final String id;
    final int port;
    /** The zone in which discovery lists it; set before it is listed. */
    String zone = "regina-east";
    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    volatile Behaviour behaviour = (attempt, out) -> streamAnswer(out, attempt.id(), 5, 50);
    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    Engine(String id) throws IOException {
        this(id, 0);
    }

    Engine(String id, int wantedPort) throws IOException {
        this.id = id;
        server = new ServerSocket(wantedPort, 1000, Kit.LOOPBACK);
        port = server.getLocalPort();
        Kit.start("engine " + id, this::accept);
    }

    private boolean accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Kit.start("connection of engine " + id, () -> serve(socket));
        }
        return true;
    }

    private boolean serve(Socket socket) throws InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String line = Kit.readLine(in);
                if (line == null) {
                    return true;
                }
                Map<String, String> headers = new HashMap<>();
                for (String header = Kit.readLine(in); !header.isEmpty(); header = Kit.readLine(in)) {
                    int colon = header.indexOf(':');
                    headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                if (in.readNBytes(length).length < length) {
                    return true;
                }
                Attempt attempt =
                        new Attempt(headers.getOrDefault("x-request-id", "-"), Kit.nowMs(), attempts.size());
                attempts.add(attempt);
                Kit.record("engine %s has request %s whole (%d body bytes)", id, attempt.id(), length);
                behaviour.answer(attempt, out);
            }
        } catch (IOException e) {
            return true;
        } finally {
            sockets.remove(socket);
        }
    }

    /** Ends the engine's process: its connections are reset and new ones are refused. */
    void kill() throws IOException {
        Kit.record("engine %s ends", id);
        server.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static void streamHead(OutputStream out) throws IOException {
        Kit.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void chunk(OutputStream out, String text) throws IOException {
        Kit.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static String event(String content) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":null}]}\n\n";
    }

    static void streamEnd(OutputStream out) throws IOException {
        chunk(out, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
        chunk(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":20,"
                + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
        chunk(out, "data: [DONE]\n\n");
        Kit.write(out, "0\r\n\r\n");
    }

    /** A sound answer: the head with the first token, then events at a steady pace. */
    static void streamAnswer(OutputStream out, String content, int events, long gapMs)
            throws IOException, InterruptedException {
        Kit.sleepMs(gapMs);
        streamHead(out);
        for (int i = 0; i < events; i++) {
            chunk(out, event(content + "-" + i));
            Kit.sleepMs(gapMs);
        }
        streamEnd(out);
    }

    /** The engine's entry in the list of discovery. */
    String member(String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"" + zone + "\","
                + "\"flavor\":\"full-rate\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }
}
