package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.NO_BODY;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.ServerHarness.chatRequest;
import static fawnlb.server.ServerHarness.waitUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import fawnlb.config.ServerConfiguration;
import fawnlb.config.StartupConfiguration;
import fawnlb.config.StreamConfiguration;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** One short test on real sockets for each rule. */
public class RequestProxyingTest {
    private static final String CONTENT_EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private static FakeHttpServer servingBackend() throws IOException {
        return new FakeHttpServer((request, socket) -> write(
                socket,
                responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT) + chunk(": odd\n\n" + DONE_EVENT)
                        + "0\r\n\r\n"));
    }

    @Test
    public void requestAndEventsAreForwardedUnchanged() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String answer = harness.exchange(0, chatRequest("id-1", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"));
            assertTrue(
                    answer,
                    answer.replaceAll("\r\n[0-9a-f]+\r\n", "").contains(CONTENT_EVENT + ": odd\n\n" + DONE_EVENT));
            FakeHttpServer.Request seen = backend.requests.get(0);
            assertEquals("POST /v1/chat/completions?q=1 HTTP/1.1", seen.requestLine());
            assertEquals("{\"a\":1}", seen.body());
            assertEquals("id-1", seen.requestId());
            assertTrue(Integer.parseInt(seen.headers().get("x-deadline-ms")) > 1000);
            waitUntil("nothing open", () -> harness.server.openRequests() == 0);
        }
    }

    /** Backends know a repeat of a keyed class by it; without it they take none of its requests. */
    @Test
    public void idempotencyKeyIsForwardedAndDuplicateIsRejected() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            harness.exchange(0, chatRequest("id-1", 3000, "idempotency-key: \"a b; c\"\r\n"));
            harness.exchange(0, chatRequest("id-2", 3000));
            assertEquals("\"a b; c\"", backend.requests.get(0).headers().get("idempotency-key"));
            assertFalse(backend.requests.get(1).headers().containsKey("idempotency-key"));
            String twice =
                    harness.exchange(0, chatRequest("id-3", 3000, "Idempotency-Key: a\r\n", "Idempotency-Key: b\r\n"));
            assertTrue(twice, twice.startsWith("HTTP/1.1 400") && twice.contains("given more than once"));
            assertEquals(2, backend.requests.size());
        }
    }

    @Test
    public void eventsAreForwardedAsTheyArrive() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                    seen.await(10, TimeUnit.SECONDS);
                    write(socket, chunk(DONE_EVENT) + "0\r\n\r\n");
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            write(client, chatRequest("id", 3000));
            InputStream in = client.getInputStream();
            while (!FakeHttpServer.readLine(in).startsWith("data: {")) {
                assertEquals(1, seen.getCount());
            }
            seen.countDown();
            assertTrue(new String(in.readAllBytes()).endsWith("0\r\n\r\n"));
        }
    }

    @Test
    public void backendConnectionsAreReused() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 5; i++) {
                harness.exchange(0, chatRequest("id-" + i, 3000));
                waitUntil("nothing open", () -> harness.server.openRequests() == 0);
                ServerHarness.awaitConnectionReuseDelay();
            }
            assertEquals(5, backend.requests.size());
            assertEquals(1, backend.acceptedConnections.get());
        }
    }

    @Test
    public void brokenStreamEndsWithoutLastChunk() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                    socket.close();
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String answer = harness.exchange(0, chatRequest("id", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 200") && !answer.contains("\r\n0\r\n"));
            assertEquals(1, backend.requests.size());
        }
    }

    /** A backend cut off from us keeps its connection open and says nothing. */
    @Test
    public void silentStreamIsEndedWithinFiveSeconds() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                    socket.getInputStream().read();
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            long start = System.nanoTime();
            String answer = harness.exchange(0, chatRequest("id", 1000));
            assertTrue(answer.startsWith("HTTP/1.1 200") && !answer.contains("\r\n0\r\n"));
            assertTrue(System.nanoTime() - start < 6_000_000_000L);
        }
    }

    @Test
    public void silentBackendYieldsRetryAfterBeforeDeadline() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            harness.exchange(0, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            long start = System.nanoTime();
            String answer = harness.exchange(0, chatRequest("id", 700));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 2\r\n"));
            assertTrue("the forward is called off", closed.await(5, TimeUnit.SECONDS));
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void requestRejectedByOnlyBackendFailsWithoutWaitingForDeadline() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer(
                        (request, socket) -> write(socket, responseHead(503, NO_BODY, "X-Not-Run: 1\r\n")));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            long start = System.nanoTime();
            String answer = harness.exchange(0, chatRequest("id", 4000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: "));
            assertTrue(System.nanoTime() - start < 2_000_000_000L);
        }
    }

    @Test
    public void attemptsAreSequentialAndLimitedToSix() throws Exception {
        AtomicInteger out = new AtomicInteger();
        AtomicInteger maxConcurrent = new AtomicInteger();
        FakeHttpServer[] backends = new FakeHttpServer[8];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new FakeHttpServer((request, socket) -> {
                maxConcurrent.accumulateAndGet(out.incrementAndGet(), Math::max);
                out.decrementAndGet();
                write(socket, responseHead(500, NO_BODY));
            });
        }
        try (ServerHarness harness = ServerHarness.withBackends(backends)) {
            String answer = harness.exchange(0, chatRequest("id", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503"));
            int attempts = 0;
            for (FakeHttpServer backend : backends) {
                attempts += backend.requests.size();
                backend.close();
            }
            assertTrue("tries " + attempts, attempts > 1 && attempts <= 6);
            assertEquals(1, maxConcurrent.get());
        }
    }

    @Test
    public void connectionRefusedIsRetriedOnAnotherBackend() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "automatic",
                                "127.0.0.1:1",
                                ServerHarness.endpointJson(1, "127.0.0.1:" + port, "c", "ready") + ","
                                        + ServerHarness.endpointJson(2, backend.address(), "c", "ready")),
                        null)) {
            for (int i = 0; i < 6; i++) {
                assertTrue(harness.exchange(0, chatRequest("id-" + i, 3000, "X-Key: " + i + "\r\n"))
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void clientDisconnectCancelsAttempt() throws Exception {
        assertDisconnectCancelsAttempt(false, "");
        assertDisconnectCancelsAttempt(true, "");
    }

    /** Some send their next request, or much more than one, and go. */
    @Test
    public void disconnectAfterPipelinedBytesCancelsAttempt() throws Exception {
        for (String ahead : List.of(
                "GET", ServerHarness.chatRequest("ahead", 4000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2000))) {
            assertDisconnectCancelsAttempt(false, ahead);
            assertDisconnectCancelsAttempt(true, ahead);
        }
    }

    private static void assertDisconnectCancelsAttempt(boolean streaming, String ahead) throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    if (streaming) {
                        write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                    }
                    asked.countDown();
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            try (Socket client = harness.connect(0)) {
                write(client, chatRequest("id", 4000).replace("Connection: close\r\n", "") + ahead);
                assertTrue(asked.await(5, TimeUnit.SECONDS));
                if (streaming) {
                    client.getInputStream().read();
                }
            }
            assertTrue("streaming " + streaming, closed.await(2, TimeUnit.SECONDS));
            waitUntil("nothing open", () -> harness.server.openRequests() == 0);
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void drainingBackendGetsNoNewRequests() throws Exception {
        try (FakeHttpServer draining = servingBackend();
                FakeHttpServer ready = servingBackend();
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                            + ServerHarness.endpointJson(1, draining.address(), "c", "draining") + ","
                                            + ServerHarness.endpointJson(2, ready.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "subscribe",
                                discovery.address(),
                                ServerHarness.endpointJson(1, draining.address(), "c", "ready")),
                        null)) {
            waitUntil("the change is told", () -> {
                try {
                    harness.exchange(0, chatRequest("id", 3000));
                } catch (IOException e) {
                    return false;
                }
                return !ready.requests.isEmpty();
            });
            int before = draining.requests.size();
            for (int i = 0; i < 10; i++) {
                harness.exchange(0, chatRequest("id-" + i, 3000, "X-Key: " + i + "\r\n"));
            }
            assertEquals(before, draining.requests.size());
            assertTrue(discovery.requests.get(0).requestLine().contains("watch=1&from=1"));
        }
    }

    /** A backend that left and came back under its id must have its connections kept again, not one a request. */
    @Test
    public void returningBackendReusesItsConnections() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING));
                    for (String phase : new String[] {"gone", "ready"}) {
                        write(
                                socket,
                                chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                        + ServerHarness.endpointJson(1, backend.address(), "c", phase) + "]}\n"));
                    }
                    socket.getInputStream().read();
                });
                ServerHarness harness =
                        new ServerHarness(ServerHarness.configJson("subscribe", discovery.address(), ""), null)) {
            for (int i = 0; i < 5; i++) {
                assertTrue(harness.exchange(0, chatRequest("id-" + i, 3000)).startsWith("HTTP/1.1 200"));
                waitUntil("nothing open", () -> harness.server.openRequests() == 0);
                ServerHarness.awaitConnectionReuseDelay();
            }
            assertEquals(1, backend.acceptedConnections.get());
        }
    }

    /** A request written to a connection that its backend is just closing would count as a reset. */
    @Test
    public void idleBackendConnectionIsClosedBeforeBackendTimeout() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                        "automatic",
                                        "127.0.0.1:1",
                                        ServerHarness.endpointJson(1, backend.address(), "c", "ready"))
                                .replace("15000000000", "2000000000"),
                        null)) {
            harness.exchange(0, chatRequest("id", 3000));
            long start = System.nanoTime();
            waitUntil("retired", () -> backend.closedConnections.get() == 1);
            assertTrue(System.nanoTime() - start < 2_000_000_000L);
        }
    }

    /** A machine that vanished answers no connect: waiting for the system to give up would cost the request. */
    @Test
    public void connectTimeoutIsRetriedOnAnotherBackend() throws Exception {
        List<Socket> fill = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FakeHttpServer backend = servingBackend();
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "automatic",
                                "127.0.0.1:1",
                                ServerHarness.endpointJson(1, "127.0.0.1:" + full.getLocalPort(), "c", "ready") + ","
                                        + ServerHarness.endpointJson(2, backend.address(), "c", "ready")),
                        null)) {
            try {
                while (true) {
                    Socket socket = new Socket();
                    fill.add(socket);
                    socket.connect(full.getLocalSocketAddress(), 200);
                }
            } catch (SocketTimeoutException e) {
                // From here on no connect comes up.
            }
            for (int i = 0; i < 6; i++) {
                assertTrue(harness.exchange(0, chatRequest("id-" + i, 2000, "X-Key: " + i + "\r\n"))
                        .startsWith("HTTP/1.1 200"));
            }
        } finally {
            for (Socket socket : fill) {
                socket.close();
            }
        }
    }

    /**
     * Pushed lists go to an agent that has to be asked all the same: without that a node kept its first list for good.
     */
    @Test
    public void pushedEndpointListIsFollowed() throws Exception {
        try (FakeHttpServer before = servingBackend();
                FakeHttpServer after = servingBackend();
                FakeHttpServer agent = new FakeHttpServer((request, socket) -> {
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("{\"revision\":2,\"complete\":true,\"members\":["
                                            + ServerHarness.endpointJson(2, after.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "automatic",
                                agent.address(),
                                ServerHarness.endpointJson(1, before.address(), "c", "ready")),
                        null)) {
            waitUntil(
                    "moved to the listed target", () -> responds(harness, "HTTP/1.1 200") && !after.requests.isEmpty());
            assertTrue(
                    agent.requests.get(0).requestLine(),
                    agent.requests.get(0).requestLine().contains("watch=1"));
        }
    }

    /** A line for each of them was 900 a second once, and hid all others. */
    @Test
    public void repeatedDiscoveryFailureIsLoggedOnce() throws Exception {
        try (CapturedLog log = new CapturedLog("fawnlb.discovery.DiscoveryFailureLog");
                FakeHttpServer discovery =
                        new FakeHttpServer((request, socket) -> write(socket, responseHead(503, NO_BODY)));
                ServerHarness harness =
                        new ServerHarness(ServerHarness.configJson("subscribe", discovery.address(), ""), null)) {
            waitUntil("called again and again", () -> discovery.requests.size() >= 12);
            assertEquals(0, harness.server.openRequests());
            assertEquals(
                    log.lines().toString(),
                    1,
                    log.lines().stream()
                            .filter(line -> line.contains("status 503"))
                            .count());
        }
    }

    /**
     * One that counts anew tells changes from lower on: asked from the old revision, it was refused each time, for
     * good.
     */
    @Test
    public void revisionResetTriggersFullEndpointList() throws Exception {
        try (FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    boolean whole = request.requestLine().contains("from=0")
                            || request.requestLine().contains("from=1");
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("{\"revision\":" + (whole ? 40 : 3) + ",\"complete\":" + whole
                                            + ",\"members\":[]}\n"));
                    socket.close();
                });
                ServerHarness harness =
                        new ServerHarness(ServerHarness.configJson("subscribe", discovery.address(), ""), null)) {
            waitUntil("asked again", () -> discovery.requests.size() >= 3);
            assertEquals(0, harness.server.openRequests());
            assertTrue(
                    discovery.requests.get(1).requestLine(),
                    discovery.requests.get(1).requestLine().contains("from=40"));
            assertTrue(
                    discovery.requests.get(2).requestLine(),
                    discovery.requests.get(2).requestLine().contains("from=0"));
        }
    }

    /** Discovery that vanished says nothing: what it would have told counts as told six seconds later. */
    @Test
    public void silentOrClosedWatchIsReopenedFromLastRevision() throws Exception {
        AtomicBoolean silent = new AtomicBoolean();
        try (FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("{\"revision\":7,\"complete\":true,\"members\":[]}\n"));
                    if (silent.getAndSet(true)) {
                        socket.getInputStream().read();
                    } else {
                        socket.close();
                    }
                });
                ServerHarness harness =
                        new ServerHarness(ServerHarness.configJson("subscribe", discovery.address(), ""), null)) {
            waitUntil("opened again after its end", () -> discovery.requests.size() >= 2);
            long start = System.nanoTime();
            waitUntil("opened again after silence", () -> discovery.requests.size() >= 3);
            assertTrue(System.nanoTime() - start < 5_500_000_000L);
            assertEquals(0, harness.server.openRequests());
            assertTrue(
                    discovery.requests.get(2).requestLine(),
                    discovery.requests.get(2).requestLine().contains("from=7"));
        }
    }

    @Test
    public void malformedRequestIsRejectedWithReason() throws Exception {
        try (FakeHttpServer backend = servingBackend();
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String id = "X-Request-Id: i\r\nConnection: close\r\n";
            String[][] cases = {
                {
                    ServerHarness.postRequest("/v1/chat/completions", "{}", "X-Class: chat\r\nConnection: close\r\n"),
                    "400",
                    "X-Request-Id"
                },
                {ServerHarness.postRequest("/v1/chat/completions", "{}", id), "400", "X-Class"},
                {
                    ServerHarness.postRequest(
                            "/v1/chat/completions", "{}", id, "X-Class: chat\r\nX-Deadline-Ms: x\r\n"),
                    "400",
                    "X-Deadline-Ms"
                },
                {
                    ServerHarness.postRequest("/v1/chat/completions", "x".repeat(300_000), id, "X-Class: chat\r\n"),
                    "413",
                    "256 KiB"
                },
                {ServerHarness.postRequest("/v2", "", id), "404", ""},
                {"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "405", "POST"},
                {"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200", "ready"},
            };
            for (String[] row : cases) {
                String answer = harness.exchange(0, row[0]);
                assertTrue(answer, answer.startsWith("HTTP/1.1 " + row[1]) && answer.contains(row[2]));
            }
            assertEquals(0, backend.requests.size());
        }
    }

    private static boolean responds(ServerHarness harness, String start) {
        try {
            String answer = harness.exchange(0, chatRequest("id", 3000));
            assertEquals(answer, answer.startsWith("HTTP/1.1 503"), answer.contains("Retry-After: 1\r\n"));
            return answer.startsWith(start);
        } catch (IOException e) {
            return false;
        }
    }

    /** A connection left unaccepted gets no answer at all; idle ones make room, and then refusals do. */
    @Test
    public void connectionLimitClosesIdleClientsThenRejects() throws Exception {
        int attempts = 200 / 3;
        int maxConcurrent = 200 - attempts - 48;
        CountDownLatch go = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    go.await(10, TimeUnit.SECONDS);
                    write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(DONE_EVENT) + "0\r\n\r\n");
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < maxConcurrent; i++) {
                clients.add(harness.connect(0));
                // Those that no attempt can be had for are busy with a body that does not come.
                String request = chatRequest("id-" + i, 9000).replace("Connection: close\r\n", "");
                write(clients.get(i), i < attempts ? request : request.substring(0, request.length() - 1));
            }
            waitUntil("all busy", () -> backend.requests.size() == attempts);
            String answer = harness.exchange(0, chatRequest("over", 9000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 1\r\n"));
            go.countDown();
            waitUntil("all idle", () -> harness.server.openRequests() == 0);
            assertTrue(harness.exchange(0, chatRequest("after", 9000)).startsWith("HTTP/1.1 200"));
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
    }

    /** Idle connections to one backend must not use up what an attempt to another needs. */
    @Test
    public void idleBackendConnectionsAreEvictedForOtherBackends() throws Exception {
        int attempts = 200 / 3;
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch drained = new CountDownLatch(1);
        FakeHttpServer.ResponseScript script = (request, socket) -> {
            go.await(10, TimeUnit.SECONDS);
            write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(DONE_EVENT) + "0\r\n\r\n");
        };
        List<Socket> clients = new ArrayList<>();
        try (FakeHttpServer full = new FakeHttpServer(script);
                FakeHttpServer other = new FakeHttpServer(script);
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING));
                    drained.await(10, TimeUnit.SECONDS);
                    write(
                            socket,
                            chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                    + ServerHarness.endpointJson(1, full.address(), "c", "draining") + ","
                                    + ServerHarness.endpointJson(2, other.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "subscribe",
                                discovery.address(),
                                ServerHarness.endpointJson(1, full.address(), "c", "ready")),
                        null)) {
            for (int i = 0; i < attempts; i++) {
                clients.add(harness.connect(0));
                write(clients.get(i), chatRequest("id-" + i, 9000));
            }
            waitUntil("all out", () -> full.requests.size() == attempts);
            go.countDown();
            waitUntil("all idle", () -> harness.server.openRequests() == 0);
            drained.countDown();
            waitUntil("served by the other", () -> responds(harness, "HTTP/1.1 200") && !other.requests.isEmpty());
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
    }

    /** A reader that stands still must stop the reading from the backend, not fill memory. */
    @Test
    public void slowClientAppliesBackpressureToBackend() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        String big = chunk("data: " + "x".repeat(65_000) + "\n\n");
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING));
                    for (; sent.get() < 1000; sent.incrementAndGet()) {
                        write(socket, big);
                    }
                    write(socket, "0\r\n\r\n");
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            write(client, chatRequest("id", 3000));
            waitUntil("begun", () -> sent.get() > 0);
            long[] last = {-1, 0};
            waitUntil("held back", () -> {
                last[1] = sent.get() == last[0] ? last[1] : System.nanoTime();
                last[0] = sent.get();
                return System.nanoTime() - last[1] > 500_000_000L;
            });
            assertTrue("sent " + sent.get(), sent.get() < 1000);
            long got = client.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
            assertTrue("got " + got, got > 65_000_000);
            assertFalse(harness.server.openRequests() > 1);
        }
    }

    /**
     * The signal may come at any time of a start, and must not leave a process that ends only when its address is free.
     */
    @Test
    public void shutdownDuringStartStopsWaitingForAddress() throws Exception {
        try (ServerSocket predecessor = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            ServerConfiguration config = ServerConfiguration.read(
                    ServerHarness.temporaryFile(ServerHarness.configJson("automatic", "127.0.0.1:1", "")
                            .replace("127.0.0.1:0", "127.0.0.1:" + predecessor.getLocalPort())),
                    Map.of());
            Server node = new Server(
                    config, null, StartupConfiguration.defaults(config.settings()), StreamConfiguration.defaults());
            FutureTask<String> start = new FutureTask<>(() -> {
                try {
                    node.start();
                    return "started";
                } catch (IOException e) {
                    return e.getMessage();
                }
            });
            new Thread(start).start();
            node.shutDownGracefully();
            String how = start.get(5, TimeUnit.SECONDS);
            assertTrue(how, how.contains("shutdown requested"));
        }
    }
}
