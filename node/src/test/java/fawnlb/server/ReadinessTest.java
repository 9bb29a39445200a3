package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.status;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A server is ready within 10 seconds of its start, whatever discovery does. */
public class ReadinessTest {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);
    private static final String EMPTY_LIST = completeList(2);
    private static final String NO_STARTUP_SETTINGS = "{}";

    private static void assertReadyInTime(String discoveryAddress) throws Exception {
        assertReadyInTime("pushed list", ServerConfigJson.pushedList(discoveryAddress));
        assertReadyInTime("watched list", ServerConfigJson.watching(discoveryAddress));
    }

    private static void assertReadyInTime(String description, ServerConfigJson config) throws Exception {
        Stopwatch stopwatch = new Stopwatch();
        try (ServerHarness harness = ServerHarness.withStartup(config, NO_STARTUP_SETTINGS)) {
            waitUntil(description + ": ready", harness::isReady);
        }
        stopwatch.assertBelow(READY_TIMEOUT);
    }

    private static void assertReadyInTime(FakeHttpServer.ResponseScript discoveryScript) throws Exception {
        try (FakeHttpServer discovery = new FakeHttpServer(discoveryScript)) {
            assertReadyInTime(discovery.address());
        }
    }

    @Test
    public void readyWhenDiscoveryResponds() throws Exception {
        assertReadyInTime((request, connection) -> write(connection, openStream(EMPTY_LIST)));
    }

    @Test
    public void readyWhenDiscoveryRefusesConnections() throws Exception {
        assertReadyInTime("127.0.0.1:" + ServerHarness.unusedPort());
    }

    @Test
    public void readyWhenConnectsToDiscoveryTimeOut() throws Exception {
        List<SocketChannel> queued = new ArrayList<>();
        try (ServerSocket unaccepting = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillAcceptQueue(unaccepting, queued);

            assertReadyInTime("127.0.0.1:" + unaccepting.getLocalPort());
        } finally {
            for (SocketChannel channel : queued) {
                channel.close();
            }
        }
    }

    private static void fillAcceptQueue(ServerSocket unaccepting, List<SocketChannel> queued) throws IOException {
        InetSocketAddress address = new InetSocketAddress(unaccepting.getInetAddress(), unaccepting.getLocalPort());
        for (int i = 0; i < 4; i++) {
            SocketChannel channel = SocketChannel.open();
            queued.add(channel);
            channel.configureBlocking(false);
            channel.connect(address);
        }
    }

    @Test
    public void readyWhenDiscoveryIsThrottled() throws Exception {
        assertReadyInTime((request, connection) -> write(connection, status(503)));
    }

    @Test
    public void readyWhenDiscoveryNeverResponds() throws Exception {
        assertReadyInTime((request, connection) -> awaitClose(connection));
    }

    @Test
    public void readyWhenDiscoveryRespondsSlowlyInFragments() throws Exception {
        List<String> fragments =
                List.of(openStream(), chunk(EMPTY_LIST.substring(0, 9)), chunk(EMPTY_LIST.substring(9)));
        assertReadyInTime((request, connection) -> {
            for (String fragment : fragments) {
                TimeUnit.MILLISECONDS.sleep(700);
                write(connection, fragment);
            }
        });
    }

    @Test
    public void readyWhenDiscoveryResetsConnections() throws Exception {
        assertReadyInTime((request, connection) -> {
            connection.setSoLinger(true, 0);
            connection.close();
        });
    }
}
