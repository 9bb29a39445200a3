package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.inPhase;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.EndpointLists.update;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** How long connections to backends are kept, and when they are used again. */
public class BackendConnectionTest {
    private static final int REQUESTS = 5;

    /** Returns a discovery server that sends one list, not before the latch is released. */
    private static FakeHttpServer discoverySending(String list, CountDownLatch released) throws IOException {
        return new FakeHttpServer((request, connection) -> {
            write(connection, openStream());
            released.await(10, TimeUnit.SECONDS);
            write(connection, chunk(list));
            awaitClose(connection);
        });
    }

    private static void assertServedOverOneConnection(ServerHarness harness, FakeHttpServer backend) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertTrue(harness.exchange(chat("id-" + i, 3000)).startsWith("HTTP/1.1 200"));
            harness.awaitNoOpenRequests();
            ServerHarness.awaitConnectionReuseDelay();
        }
        assertEquals(REQUESTS, backend.requests.size());
        assertEquals(1, backend.acceptedConnections.get());
    }

    @Test
    public void backendConnectionsAreReused() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            assertServedOverOneConnection(harness, backend);
        }
    }

    /** Not one connection per request, as for a backend that has gone. */
    @Test
    public void returningBackendReusesItsConnections() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(
                        openStream(update(2, inPhase("gone", 1, backend)), update(2, ready(1, backend))));
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            assertServedOverOneConnection(harness, backend);
        }
    }

    /** A request on a connection that the backend is closing would fail with a reset. */
    @Test
    public void idleBackendConnectionIsClosedBeforeBackendTimeout() throws Exception {
        Duration backendTimeout = Duration.ofSeconds(2);
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.fixedList()
                        .endpoints(ready(1, backend))
                        .connectionIdleNanos(backendTimeout.toNanos()))) {
            harness.exchange(chat("id", 3000));
            Stopwatch stopwatch = new Stopwatch();

            waitUntil("connection closed", () -> backend.closedConnections.get() == 1);

            stopwatch.assertBelow(backendTimeout);
        }
    }

    /** Idle connections to one backend must not use up the descriptors that an attempt at another one needs. */
    @Test
    public void idleBackendConnectionsAreEvictedForOtherBackends() throws Exception {
        int maxConcurrentAttempts = 200 / 3;
        CountDownLatch respond = new CountDownLatch(1);
        CountDownLatch drain = new CountDownLatch(1);
        FakeHttpServer.ResponseScript script = (request, connection) -> {
            respond.await(10, TimeUnit.SECONDS);
            write(connection, stream(DONE_EVENT));
        };
        List<Socket> clients = new ArrayList<>();
        try (FakeHttpServer full = new FakeHttpServer(script);
                FakeHttpServer other = new FakeHttpServer(script);
                FakeHttpServer discovery =
                        discoverySending(update(2, inPhase("draining", 1, full), ready(2, other)), drain);
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, full)))) {
            for (int i = 0; i < maxConcurrentAttempts; i++) {
                clients.add(harness.connect());
                write(clients.get(i), chat("id-" + i, 9000));
            }
            waitUntil("all attempts made", () -> full.requests.size() == maxConcurrentAttempts);
            respond.countDown();
            harness.awaitNoOpenRequests();
            drain.countDown();

            waitUntil("served by the other", () -> isServed(harness) && !other.requests.isEmpty());
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Returns whether a request is served; one that is not must be rejected with a time to retry after. */
    private static boolean isServed(ServerHarness harness) throws IOException {
        String response = harness.exchange(chat("id", 3000));
        assertEquals(response, response.startsWith("HTTP/1.1 503"), response.contains("Retry-After: 1\r\n"));
        return response.startsWith("HTTP/1.1 200");
    }

    /** A complete list removes endpoints by leaving them out. */
    @Test
    public void backendMissingFromCompleteListIsDisconnected() throws Exception {
        CountDownLatch remove = new CountDownLatch(1);
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = discoverySending(completeList(9), remove);
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, backend)))) {
            assertTrue(harness.exchange(chat("id", 3000)).startsWith("HTTP/1.1 200"));

            remove.countDown();

            waitUntil("connection closed", () -> backend.closedConnections.get() == 1);
        }
    }

    /** Idle connections lead to the process before the restart, which may not even have closed them. */
    @Test
    public void restartedBackendGetsNewConnections() throws Exception {
        CountDownLatch restart = new CountDownLatch(1);
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = discoverySending(
                        update(9, ready(1, backend).replace("up_since_ms\":0", "up_since_ms\":5")), restart);
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, backend)))) {
            assertTrue(harness.exchange(chat("id", 3000)).startsWith("HTTP/1.1 200"));

            restart.countDown();

            waitUntil("connection closed", () -> backend.closedConnections.get() == 1);
            assertTrue(harness.exchange(chat("again", 3000)).startsWith("HTTP/1.1 200"));
            assertEquals(2, backend.acceptedConnections.get());
        }
    }
}
