package fawnlb.lab.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Chooses TCP ports for the servers of a run. */
public final class Ports {
    /** Ports from 15,000 to 31,999: above the well-known ones and below 32,768, where Linux's ephemeral ports begin. */
    private static final int FIRST_PORT = 15_000;

    private static final int PORT_COUNT = 17_000;
    /** Far more than a machine with some hundred used ports needs. */
    private static final int MAX_ATTEMPTS = 1000;

    /** The ports that were returned. Their servers may not be bound yet, or may be down for a while. */
    private static final Set<Integer> RESERVED = ConcurrentHashMap.newKeySet();

    private Ports() {}

    /**
     * Returns a port that is free at the moment and outside the ephemeral range: an outgoing connection could otherwise
     * take the port of a server that is down for a while. No port is returned twice to one process. Safe for all
     * threads.
     *
     * @throws IOException if no free port is found
     */
    public static int findFreePort() throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            if (isFree(port) && RESERVED.add(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
