package fawnlb.lab.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Ports for servers of a run. */
public final class Ports {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;
    private static final int MAX_ATTEMPTS = 1000;

    private Ports() {}

    /**
     * A port that is free at the moment, and not one of those that Linux gives to outgoing connections: while a server
     * is down, any of these would take its address.
     */
    public static int findFreePort() throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Somebody has it.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }
}
