package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.openStream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Graceful shutdown, while the server starts and while it serves. */
public class ServerShutdownTest {
    /** The signal may arrive at any time; the process must not stay until its address is free. */
    @Test
    public void shutdownDuringStartStopsWaitingForAddress() throws Exception {
        try (ServerSocket predecessor = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            Server server = serverAt("127.0.0.1:" + predecessor.getLocalPort());
            FutureTask<String> start = new FutureTask<>(() -> resultOfStart(server));
            new Thread(start).start();

            server.shutDownGracefully();

            String result = start.get(5, TimeUnit.SECONDS);
            assertTrue(result, result.contains("shutdown requested"));
        }
    }

    private static Server serverAt(String listenAddress) throws Exception {
        ServerConfiguration configuration = ServerConfiguration.read(
                ServerConfigJson.fixedList().listenAddress(listenAddress).file(), Map.of());
        StartupConfiguration startup = StartupConfiguration.defaults(configuration.settings());
        return new Server(configuration, null, startup, StreamConfiguration.defaults());
    }

    private static String resultOfStart(Server server) {
        try {
            server.start();
            return "started";
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    @Test
    public void shutdownDoesNotWaitBeyondStallTimeout() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.holdingOpenAfter(openStream(CONTENT_EVENT));
                ServerHarness harness = ServerHarness.withStreams(ResponseStreamTest.SHORT_TIMEOUTS, backend);
                Socket client = harness.connect()) {
            write(client, chat("a", 4000));
            waitUntil("attempt made", () -> harness.server.openRequests() == 1 && backend.requests.size() == 1);
            Stopwatch stopwatch = new Stopwatch();

            harness.server.shutDownGracefully();

            stopwatch.assertBelow(Duration.ofSeconds(5));
            assertEquals(0, harness.server.openRequests());
            String response = ServerHarness.readToEnd(client);
            assertTrue(response, response.contains(CONTENT_EVENT) && !response.endsWith(LAST_CHUNK));
        }
    }
}
