package fawnlb.server;

import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.NOT_RUN;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.responseHead;
import static fawnlb.server.Responses.status;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Attempts that fail before their response has begun, and what follows them. */
public class AttemptRetryTest {
    private static final int REQUESTS_OVER_ALL_BACKENDS = 6;

    @Test
    public void attemptsAreSequentialAndLimitedToSix() throws Exception {
        AtomicInteger concurrentAttempts = new AtomicInteger();
        AtomicInteger maxConcurrentAttempts = new AtomicInteger();
        FakeHttpServer[] backends = new FakeHttpServer[8];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new FakeHttpServer((request, connection) -> {
                maxConcurrentAttempts.accumulateAndGet(concurrentAttempts.incrementAndGet(), Math::max);
                concurrentAttempts.decrementAndGet();
                write(connection, status(500));
            });
        }
        try (ServerHarness harness = ServerHarness.withBackends(backends)) {
            String response = harness.exchange(chat("id", 3000));

            assertTrue(response, response.startsWith("HTTP/1.1 503"));
            int attempts = 0;
            for (FakeHttpServer backend : backends) {
                attempts += backend.requests.size();
                backend.close();
            }
            assertTrue("attempts " + attempts, attempts > 1 && attempts <= 6);
            assertEquals(1, maxConcurrentAttempts.get());
        }
    }

    @Test
    public void connectionRefusedIsRetriedOnAnotherBackend() throws Exception {
        String refusingAddress = "127.0.0.1:" + ServerHarness.unusedPort();
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.fixedList().endpoints(ready(1, refusingAddress), ready(2, backend)))) {
            assertAllServed(harness, 3000);
        }
    }

    /** Without a limit of its own, a connect to a host that has gone would wait for the system's timeout. */
    @Test
    public void connectTimeoutIsRetriedOnAnotherBackend() throws Exception {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket unaccepting = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.fixedList()
                        .endpoints(ready(1, "127.0.0.1:" + unaccepting.getLocalPort()), ready(2, backend)))) {
            fillAcceptQueue(unaccepting, queued);

            assertAllServed(harness, 2000);
        } finally {
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** Connects until a connect times out, so that the server's connects will time out too. */
    private static void fillAcceptQueue(ServerSocket unaccepting, List<Socket> queued) throws IOException {
        try {
            while (true) {
                Socket socket = new Socket();
                queued.add(socket);
                socket.connect(unaccepting.getLocalSocketAddress(), 200);
            }
        } catch (SocketTimeoutException e) {
            // The queue is full.
        }
    }

    /** Sends requests with different keys, so that each backend is the first choice of some. */
    private static void assertAllServed(ServerHarness harness, int deadlineMs) throws IOException {
        for (int i = 0; i < REQUESTS_OVER_ALL_BACKENDS; i++) {
            String response = harness.exchange(chat("id-" + i, deadlineMs, sessionKey(i)));
            assertTrue(response, response.startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void streamCorruptBeforeFirstEventIsRetried() throws Exception {
        String[] corruptResponses = {
            "\u0001\u0002noise without a line's end",
            "nonsense\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX: " + "y".repeat(70_000),
            "HTTP/1.1 200 OK\r\nX: y",
            openStream() + "xyz\r\n",
            openStream() + "c0000000\r\n" + "x".repeat(50_000),
            openStream() + "2\r\nabcd\r\n",
            openStream() + "2\r\nda\r\nxyz\r\n",
            openStream(": a comment\n\ndata: half") + "xyz\r\n",
            openStream() + LAST_CHUNK,
            responseHead(200, CHUNKED_ENCODING, "Content-Length: 3\r\n") + "abc"
        };
        for (String corrupt : corruptResponses) {
            Stopwatch stopwatch = new Stopwatch();

            assertRetried(corrupt, (request, connection) -> awaitClose(connection));

            stopwatch.assertBelow(Duration.ofSeconds(2));
        }
    }

    /** Also a backend that breaks off within a client error has sent no response. */
    @Test
    public void streamTruncatedBeforeFirstEventIsRetried() throws Exception {
        String[] truncatedResponses = {
            openStream(),
            openStream() + "5\r\nda",
            openStream("data: {\"choices\":[]}"),
            openStream(CONTENT_EVENT.stripTrailing() + "\n"),
            responseHead(400, "Content-Length: 30\r\n") + "{\"error\":"
        };
        for (String truncated : truncatedResponses) {
            assertRetried(truncated, (request, connection) -> connection.close());
        }
    }

    /** Has the first attempt get a bad response, and expects that the second one is served. */
    private static void assertRetried(String badResponse, FakeHttpServer.ResponseScript afterBadResponse)
            throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        FakeHttpServer.ResponseScript script = (request, connection) -> {
            if (attempts.getAndIncrement() == 0) {
                write(connection, badResponse);
                afterBadResponse.respond(request, connection);
            } else {
                write(connection, COMPLETE_STREAM);
            }
        };
        try (FakeHttpServer one = new FakeHttpServer(script);
                FakeHttpServer two = new FakeHttpServer(script);
                ServerHarness harness = ServerHarness.withBackends(one, two)) {
            String response = harness.exchange(chat("id", 4000));

            String description = badResponse + " -> " + response;
            assertTrue(description, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
            assertEquals(description, 2, attempts.get());
        }
    }

    /** The stream is sound, and ending the attempt would lose the request. */
    @Test
    public void partialFirstEventAtAttemptTimeoutIsForwarded() throws Exception {
        CountDownLatch partReceived = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream("data: ha"));
                    partReceived.await(10, TimeUnit.SECONDS);
                    write(connection, chunk("lf\n\n") + chunk(DONE_EVENT) + LAST_CHUNK);
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            write(client, chat("id", 600));

            String firstPart = readUntil(client, "data: ha");
            partReceived.countDown();
            String rest = ServerHarness.readToEnd(client);

            assertTrue(firstPart + rest, firstPart.startsWith("HTTP/1.1 200") && rest.endsWith(LAST_CHUNK));
            assertEquals(1, backend.requests.size());
        }
    }

    private static String readUntil(Socket client, String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith(end)) {
            int next = client.getInputStream().read();
            assertTrue(received.toString(), next >= 0);
            received.append((char) next);
        }
        return received.toString();
    }

    @Test
    public void requestRejectedByOnlyBackendFailsWithoutWaitingForDeadline() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(status(503, NOT_RUN));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            Stopwatch stopwatch = new Stopwatch();

            String response = harness.exchange(chat("id", 4000));

            assertTrue(response, response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: "));
            stopwatch.assertBelow(Duration.ofSeconds(2));
        }
    }

    /** The status is known with the head; a body that does not end must not hold the request up. */
    @Test
    public void errorStatusIsHandledWithoutWaitingForBody() throws Exception {
        String endlessRejection = responseHead(503, NOT_RUN, "Content-Length: 9000000000\r\n") + "x";
        try (FakeHttpServer rejecting = FakeHttpServer.holdingOpenAfter(endlessRejection);
                FakeHttpServer failing = FakeHttpServer.responding(status(500));
                ServerHarness harness = ServerHarness.withBackends(rejecting, failing)) {
            Stopwatch stopwatch = new Stopwatch();

            assertTrue(harness.exchange(chat("id", 4000)).startsWith("HTTP/1.1 503"));

            stopwatch.assertBelow(Duration.ofSeconds(2));
        }
    }
}
