package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Idle clients use up all descriptors that are theirs, from before discovery is reachable until the server ends. */
public class DescriptorPressureIT {
    private static final int DESCRIPTOR_LIMIT = 200;
    private static final String RESPONSE = stream("data: {\"choices\":[]}\n\n" + Responses.DONE_EVENT);

    private final IdleClients idleClients = new IdleClients();

    @After
    public void closeIdleClients() throws IOException {
        idleClients.close();
    }

    /** Returns a discovery server that sends one list and then a heartbeat every second. */
    private static FakeHttpServer discoveryListing(FakeHttpServer backend) throws IOException {
        return new FakeHttpServer((request, connection) -> {
            write(connection, openStream(completeList(2, ready(1, backend))));
            while (true) {
                TimeUnit.SECONDS.sleep(1);
                write(connection, chunk("\n"));
            }
        });
    }

    private static ServerConfigJson withoutDiscovery() throws IOException {
        return ServerConfigJson.watching("127.0.0.1:" + ServerHarness.unusedPort());
    }

    private static void assertRejected(int port, String request) {
        assertTrue("rejected at once", responseOrNothing(port, request).startsWith("HTTP/1.1 503"));
    }

    private static void assertServed(int port, String request) {
        String response = responseOrNothing(port, request);
        assertTrue(response, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
    }

    /** A connection that is refused or reset counts as an empty response. */
    private static String responseOrNothing(int port, String request) {
        try {
            return ServerProcess.exchange(port, request);
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    public void reloadWatchAndBackendsGetDescriptorsUnderIdleClientFlood() throws Exception {
        Path config = withoutDiscovery().file();
        try (FakeHttpServer backend = FakeHttpServer.responding(RESPONSE);
                FakeHttpServer discovery = discoveryListing(backend);
                ServerProcess server = ServerProcess.serveAfter("ulimit -n " + DESCRIPTOR_LIMIT, config)) {
            int port = server.awaitPort();
            idleClients.connect(port, 3 * DESCRIPTOR_LIMIT);
            assertRejected(port, chat("early", 3000));

            Files.writeString(config, ServerConfigJson.watching(discovery).json());
            server.signal("HUP");
            idleClients.connect(port, DESCRIPTOR_LIMIT);
            waitUntil("discovery is watched", () -> !discovery.requests.isEmpty());
            waitUntil("ready", () -> ServerProcess.isReady(port));
            for (int i = 0; i < 20; i++) {
                idleClients.connect(port, 10);
                assertServed(port, chat("id" + i, 3000));
            }

            idleClients.close();
            assertTrue("recovers", responseOrNothing(port, chat("after", 3000)).startsWith("HTTP/1.1 200"));
            server.signal("TERM");
            String log = server.readLogToEnd();
            assertFalse(log, log.contains("Too many open files"));
        }
    }
}
