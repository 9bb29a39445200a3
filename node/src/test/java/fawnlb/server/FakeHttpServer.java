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

/** A fake backend or discovery server: a script responds to each request that it gets. */
final class FakeHttpServer implements AutoCloseable {
    private static final int BACKLOG = 200;

    /** All requests in the order of their arrival. */
    final List<Request> requests = new CopyOnWriteArrayList<>();

    final AtomicInteger acceptedConnections = new AtomicInteger();
    final AtomicInteger closedConnections = new AtomicInteger();
    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ResponseScript script;

    /** A request as it came; the names of headers are in lower case. */
    record Request(String requestLine, Map<String, String> headers, String body) {
        String requestId() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    /** Writes the response to a request; it may wait, or close the connection. */
    @FunctionalInterface
    interface ResponseScript {
        void respond(Request request, Socket connection) throws IOException, InterruptedException;
    }

    FakeHttpServer(ResponseScript script) throws IOException {
        this.script = script;
        startThread(this::acceptConnections);
    }

    /** Returns a server with the same response to each request. */
    static FakeHttpServer responding(String response) throws IOException {
        return new FakeHttpServer((request, connection) -> write(connection, response));
    }

    /** Returns a server that writes to each request's connection and then holds it open until the client closes it. */
    static FakeHttpServer holdingOpenAfter(String response) throws IOException {
        return new FakeHttpServer((request, connection) -> {
            write(connection, response);
            awaitClose(connection);
        });
    }

    @FunctionalInterface
    private interface SocketTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The test or the server under test closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket connection = listener.accept();
            connections.add(connection);
            acceptedConnections.incrementAndGet();
            startThread(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (String requestLine = readLine(in); !requestLine.isEmpty(); requestLine = readLine(in)) {
                Request request = readRequest(requestLine, in);
                requests.add(request);
                script.respond(request, connection);
            }
            closedConnections.incrementAndGet();
        }
    }

    private static Request readRequest(String requestLine, InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(requestLine, headers, new String(body, StandardCharsets.UTF_8));
    }

    /** Reads a line without its end; empty at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            line.append((char) c);
        }
        return line.toString().trim();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the first line of a request, such as {@code GET /path HTTP/1.1}. */
    String requestLine(int index) {
        return requests.get(index).requestLine();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    /** Waits until the other side closes the connection or sends something; returns whether it closed. */
    static boolean awaitClose(Socket connection) throws IOException {
        return connection.getInputStream().read() < 0;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
