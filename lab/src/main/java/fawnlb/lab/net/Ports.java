package fawnlb.lab.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Ports for servers of a run. */
public final class Ports {
    private static final int FIRST = 15_000;
    private static final int COUNT = 17_000;
    private static final int MAX_TRIED = 1000;

    private Ports() {}

    /**
     * A port that is free at the moment, and not one of those that Linux gives to outgoing connections: while a server
     * is down, any of these would take its address.
     */
    public static int free() throws IOException {
        for (int tries = 0; tries < MAX_TRIED; tries++) {
            int port = FIRST + ThreadLocalRandom.current().nextInt(COUNT);
            try (ServerSocket any = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return any.getLocalPort();
            } catch (BindException e) {
                // Somebody has it.
            }
        }
        throw new IOException("no free port from " + FIRST + " on");
    }
}
