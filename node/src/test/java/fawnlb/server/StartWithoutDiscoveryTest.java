package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.responseHead;
import static fawnlb.server.Responses.status;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Starts from a restored endpoint list, while discovery is down unless the test starts it. */
public class StartWithoutDiscoveryTest {
    private static final ServerConfigJson WITHOUT_DISCOVERY = ServerConfigJson.watching(ServerConfigJson.UNREACHABLE);
    private static final String NO_STARTUP_SETTINGS = "{}";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path snapshotFile;

    @Before
    public void nameSnapshotFile() {
        snapshotFile = folder.getRoot().toPath().resolve("list");
    }

    private static FakeHttpServer servingBackend() throws IOException {
        return FakeHttpServer.responding(stream(DONE_EVENT));
    }

    /** Returns the address of a backend that has gone. */
    private static String closedAddress() throws IOException {
        try (FakeHttpServer gone = servingBackend()) {
            return gone.address();
        }
    }

    private void writeSnapshot(String... addresses) throws IOException {
        long now = System.currentTimeMillis();
        List<Snapshot.Entry> entries = new ArrayList<>();
        for (String address : addresses) {
            DiscoveredEndpoint endpoint = endpoint(entries.size() + 1, address);
            entries.add(new Snapshot.Entry(endpoint, now, now));
        }
        new SnapshotStore(snapshotFile).write(new Snapshot(now, 99, entries));
    }

    private static DiscoveredEndpoint endpoint(int number, String address) {
        int colon = address.lastIndexOf(':');
        return new DiscoveredEndpoint(
                EndpointId.of("s-0000000" + number),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                "a",
                "c",
                0,
                EndpointPhase.READY,
                1,
                0);
    }

    /** Returns startup settings with the snapshot's file and, from their leading comma on, further settings. */
    private String startupJson(String furtherSettings) {
        return "{\"snapshot\":{\"file\":\"" + snapshotFile + "\",\"least-interval-ms\":100}" + furtherSettings + "}";
    }

    private ServerHarness startFromSnapshot(ServerConfigJson config) throws Exception {
        return ServerHarness.withStartup(config, startupJson(""));
    }

    private static void assertServed(ServerHarness harness, String request) throws IOException {
        String response = harness.exchange(request);
        assertTrue(response, response.startsWith("HTTP/1.1 200"));
    }

    private static void assertRejectedWithRetryAfter(ServerHarness harness, String request) throws IOException {
        String response = harness.exchange(request);
        assertTrue(response, response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"));
    }

    @Test
    public void restoredEndpointsServeWhileDiscoveryIsDown() throws Exception {
        try (FakeHttpServer backend = servingBackend()) {
            writeSnapshot(backend.address(), closedAddress());
            try (ServerHarness harness = startFromSnapshot(WITHOUT_DISCOVERY)) {
                for (int i = 0; i < 5; i++) {
                    assertServed(harness, chat("id" + i, 3000, sessionKey("a" + i)));
                }
            }
        }
    }

    /**
     * Without a snapshot, another backend may have taken over a configured address. Only discovery's response tells, be
     * it that nothing has changed, and so does a failed call.
     */
    @Test
    public void configuredEndpointsAreUsedOnlyAfterDiscoveryResponds() throws Exception {
        String nothingChanged = openStream("\n");
        String emptyUpdate = openStream("{\"revision\":2,\"members\":[]}\n");
        for (String discoveryResponse : List.of(nothingChanged, emptyUpdate, status(503))) {
            CountDownLatch respond = new CountDownLatch(1);
            try (FakeHttpServer backend = servingBackend();
                    FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                        respond.await(10, TimeUnit.SECONDS);
                        write(connection, discoveryResponse);
                        awaitClose(connection);
                    });
                    ServerHarness harness = ServerHarness.withStartup(
                            ServerConfigJson.watching(discovery).endpoints(ready(1, backend)), NO_STARTUP_SETTINGS)) {
                waitUntil("discovery is asked", () -> !discovery.requests.isEmpty());
                assertTrue(harness.exchange(Requests.READINESS).startsWith("HTTP/1.1 503"));
                assertRejectedWithRetryAfter(harness, chat("early", 100));
                assertEquals(0, backend.requests.size());

                respond.countDown();

                waitUntil("ready", harness::isReady);
                assertServed(harness, chat("id", 3000));
            }
        }
    }

    @Test
    public void unverifiedBackendIsLimitedToProbeRequests() throws Exception {
        int clientCount = 6;
        CountDownLatch respond = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
            respond.await(10, TimeUnit.SECONDS);
            write(connection, stream(DONE_EVENT));
        })) {
            writeSnapshot(backend.address());
            String twoProbeRequests = startupJson(",\"probation\":{\"waiting\":2}");
            try (ServerHarness harness = ServerHarness.withStartup(WITHOUT_DISCOVERY, twoProbeRequests)) {
                Socket[] clients = new Socket[clientCount];
                for (int i = 0; i < clients.length; i++) {
                    clients[i] = harness.connect();
                    write(clients[i], chat("id" + i, 6000));
                }
                waitUntil("all requests are open", () -> harness.server.openRequests() == clientCount);
                waitUntil("two are forwarded", () -> backend.requests.size() == 2);

                respond.countDown();

                for (Socket client : clients) {
                    assertTrue(ServerHarness.readToEnd(client).startsWith("HTTP/1.1 200"));
                    client.close();
                }
                assertEquals(clientCount, backend.requests.size());
            }
        }
    }

    @Test
    public void discoveredListReplacesRestoredListAndIsSaved() throws Exception {
        try (FakeHttpServer restored = servingBackend();
                FakeHttpServer listed = servingBackend();
                FakeHttpServer discovery = FakeHttpServer.responding(openStream(completeList(3, ready(2, listed))))) {
            writeSnapshot(restored.address());
            try (ServerHarness harness = startFromSnapshot(ServerConfigJson.watching(discovery))) {
                waitUntil(
                        "discovered list is saved",
                        () -> SnapshotStore.read(snapshotFile)
                                .entries()
                                .get(0)
                                .endpoint()
                                .id()
                                .name()
                                .equals("s-00000002"));
                assertTrue(discovery.requestLine(0).contains("from=0"));
                int requestsBefore = restored.requests.size();

                assertServed(harness, chat("id", 3000));

                assertEquals(requestsBefore, restored.requests.size());
                assertEquals(1, listed.requests.size());
            }
        }
    }

    @Test
    public void corruptSnapshotFallsBackToPreviousSnapshot() throws Exception {
        try (FakeHttpServer backend = servingBackend()) {
            writeSnapshot(backend.address());
            Files.copy(snapshotFile, snapshotFile.resolveSibling("list.1"));
            Files.write(snapshotFile, new byte[] {1, 2, 3});

            try (ServerHarness harness = startFromSnapshot(WITHOUT_DISCOVERY)) {
                assertServed(harness, chat("id", 3000));
            }
        }
    }

    @Test
    public void truncatedDiscoveryListIsIgnored() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    String truncated = "400\r\n{\"revision\":3,\"complete\":true,\"members\":[";
                    write(connection, responseHead(200, CHUNKED_ENCODING) + truncated);
                    connection.close();
                })) {
            writeSnapshot(backend.address());
            try (ServerHarness harness = startFromSnapshot(ServerConfigJson.watching(discovery))) {
                waitUntil("discovery is asked again", () -> discovery.requests.size() > 1);

                assertServed(harness, chat("id", 3000));
            }
        }
    }

    @Test
    public void requestIsRejectedBeforeDeadlineWhenAllRestoredBackendsAreGone() throws Exception {
        writeSnapshot(closedAddress());
        try (ServerHarness harness = startFromSnapshot(WITHOUT_DISCOVERY)) {
            assertRejectedWithRetryAfter(harness, chat("id", 500));
        }
    }
}
