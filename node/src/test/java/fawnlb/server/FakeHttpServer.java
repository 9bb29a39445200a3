package fawnlb.server;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a backend or for discovery: each request it gets is answered by a script. */
final class FakeHttpServer implements AutoCloseable {
    final List<Request> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger acceptedConnections = new AtomicInteger();
    final AtomicInteger closedConnections = new AtomicInteger();
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ResponseScript script;

    /** A request as it came. */
    record Request(String requestLine, Map<String, String> headers, String body) {
        String requestId() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    /** Writes an answer. */
    interface ResponseScript {
        void respond(Request request, Socket socket) throws Exception;
    }

    FakeHttpServer(ResponseScript script) throws IOException {
        this.script = script;
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                acceptedConnections.incrementAndGet();
                startThread(() -> serve(socket));
            }
        });
    }

    private interface SocketTask {
        void run() throws Exception;
    }

    private static void startThread(SocketTask work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The test closed the socket, or the node did.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line;
            while (!(line = readLine(in)).isEmpty()) {
                Map<String, String> headers = new TreeMap<>();
                for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
                    headers.put(
                            header.substring(0, header.indexOf(':')).toLowerCase(Locale.ROOT),
                            header.substring(header.indexOf(':') + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                Request request = new Request(line, headers, new String(body, StandardCharsets.UTF_8));
                requests.add(request);
                script.respond(request, socket);
            }
            closedConnections.incrementAndGet();
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            text.append((char) c);
        }
        return text.toString().trim();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    static String responseHead(int status, String... headers) {
        return "HTTP/1.1 " + status + " x\r\nContent-Type: text/event-stream\r\n" + String.join("", headers) + "\r\n";
    }

    static final String CHUNKED_ENCODING = "Transfer-Encoding: chunked\r\n";
    static final String NO_BODY = "Content-Length: 0\r\n";

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
