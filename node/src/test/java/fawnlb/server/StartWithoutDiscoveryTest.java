package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointPhase;
import fawnlb.discovery.DiscoveredEndpoint;
import fawnlb.snapshot.Snapshot;
import fawnlb.snapshot.SnapshotStore;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Starts from a remembered list, on real sockets: discovery is nowhere unless the test brings it. */
public class StartWithoutDiscoveryTest {
    private static final String UNREACHABLE = "127.0.0.1:1";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static FakeHttpServer servingBackend() throws Exception {
        return new FakeHttpServer((request, socket) ->
                write(socket, responseHead(200, CHUNKED_ENCODING) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"));
    }

    private static DiscoveredEndpoint endpoint(int number, String address) {
        int colon = address.lastIndexOf(':');
        return new DiscoveredEndpoint(
                "s-0000000" + number,
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                "a",
                "c",
                0,
                EndpointPhase.READY,
                1,
                0);
    }

    private String startJson(String extraFields, DiscoveredEndpoint... restored) throws Exception {
        Path file = folder.getRoot().toPath().resolve("list");
        long now = System.currentTimeMillis();
        if (restored.length > 0) {
            new SnapshotStore(file)
                    .write(new Snapshot(
                            now,
                            99,
                            Arrays.stream(restored)
                                    .map(member -> new Snapshot.Entry(member, now, now))
                                    .toList()));
        }
        return "{\"snapshot\":{\"file\":\"" + file + "\",\"least-interval-ms\":100}" + extraFields + "}";
    }

    @Test
    public void restoredEndpointsServeWhileDiscoveryIsDown() throws Exception {
        String closedAddress;
        try (FakeHttpServer gone = servingBackend()) {
            closedAddress = gone.address();
        }
        try (FakeHttpServer backend = servingBackend()) {
            try (ServerHarness harness = new ServerHarness(
                    ServerHarness.configJson("subscribe", UNREACHABLE, ""),
                    null,
                    startJson("", endpoint(1, backend.address()), endpoint(2, closedAddress)))) {
                for (int i = 0; i < 5; i++) {
                    String answer =
                            harness.exchange(0, ServerHarness.chatRequest("id" + i, 3000, "X-Key: a" + i + "\r\n"));
                    assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
                }
            }
        }
    }

    /**
     * What stands behind a remembered address may be another backend by now, of no list that this node was given. No
     * time that passes tells; an answer does, be it that nothing has changed, and so does a call that fails.
     */
    @Test
    public void configuredEndpointsAreUsedOnlyAfterDiscoveryResponds() throws Exception {
        String ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        for (String word : new String[] {
            responseHead(200, CHUNKED_ENCODING) + chunk("\n"),
            responseHead(200, CHUNKED_ENCODING) + chunk("{\"revision\":2," + "\"members\":[]}\n"),
            responseHead(503, "Content-Length: 0\r\n")
        }) {
            CountDownLatch speaks = new CountDownLatch(1);
            try (FakeHttpServer backend = servingBackend();
                    FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                        speaks.await(10, TimeUnit.SECONDS);
                        write(socket, word);
                        socket.getInputStream().read();
                    });
                    ServerHarness harness = new ServerHarness(
                            ServerHarness.configJson(
                                    "subscribe",
                                    discovery.address(),
                                    ServerHarness.endpointJson(1, backend.address(), "c", "ready")),
                            null,
                            "{}")) {
                ServerHarness.waitUntil("asked", () -> !discovery.requests.isEmpty());
                assertTrue(harness.exchange(0, ready).startsWith("HTTP/1.1 503"));
                String early = harness.exchange(0, ServerHarness.chatRequest("early", 100));
                assertTrue(early, early.startsWith("HTTP/1.1 503") && early.contains("Retry-After"));
                assertEquals(0, backend.requests.size());
                speaks.countDown();
                ServerHarness.waitUntil("ready", () -> {
                    try {
                        return harness.exchange(0, ready).startsWith("HTTP/1.1 200");
                    } catch (IOException e) {
                        return false;
                    }
                });
                String answer = harness.exchange(0, ServerHarness.chatRequest("id", 3000));
                assertTrue(answer, answer.startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Nothing more is sent to a backend that has not yet answered than its room: here one of three nodes' eight. */
    @Test
    public void unverifiedBackendIsLimitedToProbeRequests() throws Exception {
        CountDownLatch answering = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
            answering.await(10, TimeUnit.SECONDS);
            write(socket, responseHead(200, CHUNKED_ENCODING) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        })) {
            try (ServerHarness harness = new ServerHarness(
                    ServerHarness.configJson("subscribe", UNREACHABLE, ""),
                    null,
                    startJson(",\"probation\":{\"waiting\":2}", endpoint(1, backend.address())))) {
                Socket[] clients = new Socket[6];
                for (int i = 0; i < clients.length; i++) {
                    clients[i] = harness.connect(0);
                    write(clients[i], ServerHarness.chatRequest("id" + i, 6000));
                }
                ServerHarness.waitUntil("six taken", () -> harness.server.openRequests() == clients.length);
                ServerHarness.waitUntil("two out", () -> backend.requests.size() == 2);
                answering.countDown();
                for (Socket client : clients) {
                    assertTrue(new String(client.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200"));
                    client.close();
                }
                assertEquals(clients.length, backend.requests.size());
            }
        }
    }

    @Test
    public void discoveredListReplacesRestoredListAndIsSaved() throws Exception {
        try (FakeHttpServer remembered = servingBackend();
                FakeHttpServer listed = servingBackend();
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> write(
                        socket,
                        responseHead(200, CHUNKED_ENCODING)
                                + chunk("{\"revision\":3,\"complete\":true,\"members\":["
                                        + ServerHarness.endpointJson(2, listed.address(), "c", "ready") + "]}\n")))) {
            try (ServerHarness harness = new ServerHarness(
                    ServerHarness.configJson("subscribe", discovery.address(), ""),
                    null,
                    startJson("", endpoint(1, remembered.address())))) {
                Path file = folder.getRoot().toPath().resolve("list");
                ServerHarness.waitUntil("remembered anew", () -> {
                    try {
                        return SnapshotStore.read(file)
                                .entries()
                                .get(0)
                                .endpoint()
                                .id()
                                .equals("s-00000002");
                    } catch (IOException e) {
                        return false;
                    }
                });
                assertTrue(discovery.requests.get(0).requestLine().contains("from=0"));
                int before = remembered.requests.size();
                assertTrue(harness.exchange(0, ServerHarness.chatRequest("id", 3000))
                        .startsWith("HTTP/1.1 200"));
                assertEquals(before, remembered.requests.size());
                assertEquals(1, listed.requests.size());
            }
        }
    }

    @Test
    public void corruptSnapshotFallsBackToPreviousSnapshot() throws Exception {
        try (FakeHttpServer backend = servingBackend()) {
            String start = startJson("", endpoint(1, backend.address()));
            Path file = folder.getRoot().toPath().resolve("list");
            Files.copy(file, file.resolveSibling("list.1"));
            Files.write(file, new byte[] {1, 2, 3});
            try (ServerHarness harness =
                    new ServerHarness(ServerHarness.configJson("subscribe", UNREACHABLE, ""), null, start)) {
                assertTrue(harness.exchange(0, ServerHarness.chatRequest("id", 3000))
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void truncatedDiscoveryListIsIgnored() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + "400\r\n{\"revision\":3,\"complete\":true,\"members\":[");
                    socket.close();
                })) {
            try (ServerHarness harness = new ServerHarness(
                    ServerHarness.configJson("subscribe", discovery.address(), ""),
                    null,
                    startJson("", endpoint(1, backend.address())))) {
                ServerHarness.waitUntil("asked again", () -> discovery.requests.size() > 1);
                assertTrue(harness.exchange(0, ServerHarness.chatRequest("id", 3000))
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void requestIsRejectedBeforeDeadlineWhenAllRestoredBackendsAreGone() throws Exception {
        String closedAddress;
        try (FakeHttpServer gone = servingBackend()) {
            closedAddress = gone.address();
        }
        try (ServerHarness harness = new ServerHarness(
                ServerHarness.configJson("subscribe", UNREACHABLE, ""),
                null,
                startJson("", endpoint(1, closedAddress)))) {
            String answer = harness.exchange(0, ServerHarness.chatRequest("id", 500));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After"));
        }
    }
}
