package fawnlb.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients that connect to a node, write a request, a part of one or nothing, and keep the connection without reading.
 * Not thread-safe.
 */
final class MalformedClients implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** So that what they don't read stays with the node. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InetSocketAddress node;
    private final List<Socket> sockets = new ArrayList<>();

    MalformedClients(InetSocketAddress node) {
        this.node = node;
    }

    /** Opens connections, fewer if the node refuses one: it may be down at the moment. */
    void connect(int count, String partialRequest) {
        for (int i = 0; i < count; i++) {
            if (!connect(partialRequest)) {
                return;
            }
        }
    }

    /** Opens a connection; returns false if the node refuses it. */
    boolean connect(String request) {
        Socket socket = new Socket();
        try {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(node, CONNECT_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            sockets.add(socket);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether the node closes all connections within this time. */
    boolean areClosedWithin(long timeoutMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        for (Socket socket : sockets) {
            try {
                long remainingMillis = (end - System.nanoTime()) / NANOS_PER_MILLI;
                socket.setSoTimeout((int) Math.max(1, remainingMillis));
                while (socket.getInputStream().read() >= 0) {
                    // An error response may precede the close.
                }
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                // A reset closes the connection too.
            }
        }
        return true;
    }

    /** Closes all connections that the node has not closed. */
    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
