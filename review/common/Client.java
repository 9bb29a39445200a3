import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One client connection to a node. */
final class Client implements Closeable {
    /** What a client has read of one response. */
    static final class Response {
        int status;
        final Map<String, String> headers = new HashMap<>();
        final StringBuilder body = new StringBuilder();
        /** Whether the last chunk, or all of the stated length, was read. */
        boolean complete;
        long lastByteAtMs;

        @Override
        public String toString() {
            return "status " + status + (complete ? "" : ", cut off") + ", " + body.length() + " bytes";
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port, int readTimeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(Kit.LOOPBACK, port), 1000);
        socket.setSoTimeout(readTimeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        Kit.write(socket.getOutputStream(), text);
    }

    /** Reads one response to its end. Returns null if the connection ends before the first byte. */
    Response readResponse() throws IOException {
        String statusLine = Kit.readLine(in);
        if (statusLine == null) {
            return null;
        }
        Response response = new Response();
        response.status = Integer.parseInt(statusLine.split(" ")[1]);
        for (String line = Kit.readLine(in); line != null && !line.isEmpty(); line = Kit.readLine(in)) {
            int colon = line.indexOf(':');
            response.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        response.lastByteAtMs = Kit.nowMs();
        try {
            readBody(response);
        } catch (IOException e) {
            response.lastByteAtMs = Kit.nowMs();
        }
        return response;
    }

    private void readBody(Response response) throws IOException {
        if (response.headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            while (true) {
                String size = Kit.readLine(in);
                if (size == null) {
                    response.lastByteAtMs = Kit.nowMs();
                    return;
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes == 0) {
                    Kit.readLine(in);
                    break;
                }
                read(response, bytes);
                Kit.readLine(in);
            }
        } else {
            read(response, Integer.parseInt(response.headers.getOrDefault("content-length", "0")));
        }
        response.complete = true;
        response.lastByteAtMs = Kit.nowMs();
    }

    private void read(Response response, int bytes) throws IOException {
        byte[] part = in.readNBytes(bytes);
        response.body.append(new String(part, StandardCharsets.ISO_8859_1));
        response.lastByteAtMs = Kit.nowMs();
        if (part.length < bytes) {
            throw new IOException("the connection ended within a body");
        }
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }
}
