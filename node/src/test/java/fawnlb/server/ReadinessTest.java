package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.NO_BODY;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
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
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final String READINESS_REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    private static final String EMPTY_ENDPOINT_LIST = "{\"revision\":2,\"complete\":true,\"members\":[]}\n";

    private static String readReadiness(ServerHarness harness) {
        try {
            return harness.exchange(0, READINESS_REQUEST);
        } catch (IOException e) {
            return "";
        }
    }

    private static void assertReadyInTime(String discovery) throws Exception {
        for (String mode : new String[] {"automatic", "subscribe"}) {
            long began = System.nanoTime();
            try (ServerHarness harness = new ServerHarness(ServerHarness.configJson(mode, discovery, ""), null, "{}")) {
                ServerHarness.waitUntil(
                        mode + ": ready", () -> readReadiness(harness).startsWith("HTTP/1.1 200"));
            }
            long took = System.nanoTime() - began;
            assertTrue(mode + ": ready after " + took / 1_000_000 + " ms", took < READY_TIMEOUT_NANOS);
        }
    }

    private static void assertReadyInTime(FakeHttpServer.ResponseScript script) throws Exception {
        try (FakeHttpServer discovery = new FakeHttpServer(script)) {
            assertReadyInTime(discovery.address());
        }
    }

    @Test
    public void readyWhenDiscoveryResponds() throws Exception {
        assertReadyInTime(
                (request, socket) -> write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(EMPTY_ENDPOINT_LIST)));
    }

    @Test
    public void readyWhenDiscoveryRefusesConnections() throws Exception {
        assertReadyInTime("127.0.0.1:" + ServerHarness.unusedPort());
    }

    @Test
    public void readyWhenConnectsToDiscoveryTimeOut() throws Exception {
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
    public void readyWhenDiscoveryIsThrottled() throws Exception {
        assertReadyInTime((request, socket) -> write(socket, responseHead(503, NO_BODY)));
    }

    @Test
    public void readyWhenDiscoveryNeverResponds() throws Exception {
        assertReadyInTime((request, socket) -> socket.getInputStream().read());
    }

    @Test
    public void readyWhenDiscoveryRespondsSlowlyInFragments() throws Exception {
        assertReadyInTime((request, socket) -> {
            for (String piece : new String[] {
                responseHead(200, CHUNKED_ENCODING),
                chunk(EMPTY_ENDPOINT_LIST.substring(0, 9)),
                chunk(EMPTY_ENDPOINT_LIST.substring(9))
            }) {
                TimeUnit.MILLISECONDS.sleep(700);
                write(socket, piece);
            }
        });
    }

    @Test
    public void readyWhenDiscoveryResetsConnections() throws Exception {
        assertReadyInTime((request, socket) -> {
            socket.setSoLinger(true, 0);
            socket.close();
        });
    }
}
