package fawnlb.cli;

import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.EMPTY;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A node that was started anew is ready within 10 s, in whatever state discovery is. */
public class ReadinessTest {
    private static final long BOUND = TimeUnit.SECONDS.toNanos(10);
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    private static final String LIST = "{\"revision\":2,\"complete\":true,\"members\":[]}\n";

    private static String ready(Rigged rig) {
        try {
            return rig.ask(0, READY);
        } catch (IOException e) {
            return "";
        }
    }

    private static void assertReadyInTime(String discovery) throws Exception {
        for (String mode : new String[] {"automatic", "subscribe"}) {
            long began = System.nanoTime();
            try (Rigged rig = new Rigged(Rigged.config(mode, discovery, ""), null, "{}")) {
                Rigged.until(mode + ": ready", () -> ready(rig).startsWith("HTTP/1.1 200"));
            }
            long took = System.nanoTime() - began;
            assertTrue(mode + ": ready after " + took / 1_000_000 + " ms", took < BOUND);
        }
    }

    private static void assertReadyInTime(StandIn.Script script) throws Exception {
        try (StandIn discovery = new StandIn(script)) {
            assertReadyInTime(discovery.address());
        }
    }

    @Test
    public void nodeIsReadyWhereDiscoveryAnswers() throws Exception {
        assertReadyInTime((request, socket) -> write(socket, head(200, CHUNKED) + chunk(LIST)));
    }

    @Test
    public void nodeIsReadyWhereDiscoveryIsAway() throws Exception {
        assertReadyInTime("127.0.0.1:" + Rigged.closedPort());
    }

    @Test
    public void nodeIsReadyWhereConnectsToDiscoveryNeverComeUp() throws Exception {
        List<SocketChannel> queue = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
            for (int i = 0; i < 4; i++) {
                SocketChannel waiting = SocketChannel.open();
                queue.add(waiting);
                waiting.configureBlocking(false);
                waiting.connect(address);
            }
            assertReadyInTime("127.0.0.1:" + full.getLocalPort());
        } finally {
            for (SocketChannel waiting : queue) {
                waiting.close();
            }
        }
    }

    @Test
    public void nodeIsReadyWhereDiscoveryIsCrowded() throws Exception {
        assertReadyInTime((request, socket) -> write(socket, head(503, EMPTY)));
    }

    @Test
    public void nodeIsReadyWhereDiscoveryNeverAnswers() throws Exception {
        assertReadyInTime((request, socket) -> socket.getInputStream().read());
    }

    @Test
    public void nodeIsReadyWhereDiscoveryAnswersSlowlyAndInPieces() throws Exception {
        assertReadyInTime((request, socket) -> {
            for (String piece :
                    new String[] {head(200, CHUNKED), chunk(LIST.substring(0, 9)), chunk(LIST.substring(9))}) {
                TimeUnit.MILLISECONDS.sleep(700);
                write(socket, piece);
            }
        });
    }

    @Test
    public void nodeIsReadyWhereDiscoveryResetsItsConnections() throws Exception {
        assertReadyInTime((request, socket) -> {
            socket.setSoLinger(true, 0);
            socket.close();
        });
    }
}
