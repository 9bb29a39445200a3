package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.NO_BODY;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.ServerHarness.chatRequest;
import static fawnlb.server.ServerHarness.postRequest;
import static fawnlb.server.ServerHarness.waitUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Clients that send what can't be read, and backends whose streams come spoilt, on real sockets. */
public class MalformedTrafficTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String CONTENT_EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String DONE_EVENT = "data: [DONE]\n\n";
    private static final String COMPLETE_STREAM =
            responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT + DONE_EVENT) + "0\r\n\r\n";
    private static final String REQUIRED_HEADERS = "X-Request-Id: i\r\nX-Class: chat\r\n";
    private static final String REQUEST_HEAD =
            "POST " + PATH + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + REQUIRED_HEADERS;

    /** An error or a close, and soon: nothing of it may reach a backend, or be answered as though it had run. */
    @Test
    public void unparsableRequestGetsErrorOrCloseWithinThreeSeconds() throws Exception {
        String[] cases = {
            "GET / HTTP/1.1\r\nHost: x\r\nX: " + "x".repeat(100_000),
            REQUEST_HEAD + "X: y\r\n".repeat(100) + "Content-Length: 2\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: -2\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: +2\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: two\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: 2, 2\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: 2000000000\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: 99999999999999999999\r\n\r\n{}",
            REQUEST_HEAD + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            REQUEST_HEAD + "Content-Length : 2\r\n\r\n{}",
            REQUEST_HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            REQUEST_HEAD + "Transfer-Encoding: identity\r\n\r\n{}",
            REQUEST_HEAD + CHUNKED_ENCODING + "\r\nzz\r\n{}\r\n0\r\n\r\n",
            REQUEST_HEAD + CHUNKED_ENCODING + "\r\n-2\r\n{}\r\n0\r\n\r\n",
            REQUEST_HEAD + CHUNKED_ENCODING + "\r\n2\r\n{}}\r\n0\r\n\r\n",
            REQUEST_HEAD + CHUNKED_ENCODING + "\r\nfffffffff\r\n{}",
            REQUEST_HEAD + CHUNKED_ENCODING + "\r\n"
                    + chunk("x".repeat(200_000)).repeat(2) + "0\r\n\r\n",
            REQUEST_HEAD.replace("1.1", "1.0") + "Content-Length: 2\r\n\r\n{}",
            REQUEST_HEAD + "X-Request-Id: j\r\nContent-Length: 2\r\n\r\n{}",
            REQUEST_HEAD + "X-Deadline-Ms: 10.5\r\nContent-Length: 2\r\n\r\n{}",
            REQUEST_HEAD + "X-Deadline-Ms: -1\r\nContent-Length: 2\r\n\r\n{}",
            postRequest(PATH, "{}", "X-Class: chat\r\n", "Connection: close\r\n"),
            postRequest(PATH, "{}", "X-Request-Id: i\r\n", "X-Class: none\r\n", "Connection: close\r\n"),
            REQUEST_HEAD + "Content-Length: 10\r\n\r\n{}",
            REQUEST_HEAD + "\r\n",
            REQUEST_HEAD + "Content-Length: 0\r\n\r\n",
            REQUEST_HEAD + "Content-Len",
            "\0\1\2\3\r\n\r\n",
            "",
            "P"
        };
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(socket, COMPLETE_STREAM));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            List<Socket> clients = new ArrayList<>();
            long start = System.nanoTime();
            for (String text : cases) {
                Socket client = harness.connect(0);
                clients.add(client);
                sendAll(client, text);
            }
            for (int i = 0; i < cases.length; i++) {
                String answer = readToEnd(clients.get(i));
                assertTrue(cases[i] + " -> " + answer, answer.isEmpty() || answer.matches("(?s)HTTP/1.[01] [45].*"));
            }
            assertTrue(System.nanoTime() - start < 3_000_000_000L);
            assertEquals(0, backend.requests.size());
            assertTrue(harness.exchange(0, chatRequest("good", 3000)).startsWith("HTTP/1.1 200"));
        }
    }

    /** The second front stands on the same reader: what the first does not take, it does not take either. */
    @Test
    public void brokerListenerParsesAsStrictly() throws Exception {
        String body =
                "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        String start =
                "POST " + PATH + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nx-api-key: k\r\nX-Request-Id: i\r\n";
        String teams =
                "{\"listen\":\"127.0.0.1:0\",\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\"],\"models\":[\"m\"],"
                        + "\"deadline-ms\":5000,\"budget\":{\"requests\":1000,\"tokens\":1000000,\"window-ms\":1000}}]}";
        CountDownLatch go = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    go.await(10, TimeUnit.SECONDS);
                    write(socket, COMPLETE_STREAM);
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "automatic",
                                "127.0.0.1:1",
                                ServerHarness.endpointJson(1, backend.address(), "c", "ready")),
                        teams);
                Socket open = harness.connect(1)) {
            String[][] cases = {
                {"Content-Length: 2000000000\r\n\r\n{}", "413"},
                {"Content-Length: -1\r\n\r\n{}", "400"},
                {"Content-Length: 5\r\n" + CHUNKED_ENCODING + "\r\n0\r\n\r\n", "400"},
                {CHUNKED_ENCODING + "\r\nzz\r\n", "400"},
                {"Content-Length: 9\r\n\r\n{", "408"}
            };
            for (String[] row : cases) {
                try (Socket client = harness.connect(1)) {
                    sendAll(client, start + row[0]);
                    String answer = readToEnd(client);
                    assertTrue(row[0] + " -> " + answer, answer.startsWith("HTTP/1.1 " + row[1]));
                }
            }
            assertEquals(0, backend.requests.size());
            String good = start + CHUNKED_ENCODING + "\r\n" + chunk(body) + "0\r\n\r\n";
            write(open, good);
            waitUntil("taken", () -> backend.requests.size() == 1);
            assertTrue(harness.exchange(1, good).startsWith("HTTP/1.1 409"));
            go.countDown();
            assertTrue(readToEnd(open).startsWith("HTTP/1.1 200"));
        }
    }

    /** The node may answer and close before it has read all. */
    private static void sendAll(Socket client, String text) {
        try {
            write(client, text);
        } catch (IOException e) {
            // What it answered is still there to be read.
        }
    }

    private static String readToEnd(Socket client) throws IOException {
        StringBuilder text = new StringBuilder();
        try (client) {
            for (int c = client.getInputStream().read();
                    c >= 0;
                    c = client.getInputStream().read()) {
                text.append((char) c);
            }
        } catch (java.net.SocketException e) {
            // Reset, which is a close.
        }
        return text.toString();
    }

    @Test
    public void chunkedFragmentedOrContinuedBodyIsForwardedComplete() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(socket, COMPLETE_STREAM));
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            String start = "POST " + PATH + " HTTP/1.1\r\nHost: x\r\nX-Class: chat\r\nX-Request-Id: ";
            write(
                    client,
                    start + "a\r\n" + CHUNKED_ENCODING + "\r\n" + chunk("{\"a\"")
                            + "3;x=y\r\n:1}\r\n0\r\nTrailer: z\r\n\r\n");
            waitUntil("chunks", () -> backend.requests.size() == 1);
            String slow = start + "b\r\nContent-Length: 5\r\n\r\n[1,2]";
            // Behind the other's body, though its answer is not through yet.
            for (int i = 0; i < slow.length(); i += 50) {
                write(client, slow.substring(i, Math.min(slow.length(), i + 50)));
            }
            waitUntil("pieces", () -> backend.requests.size() == 2);
            write(client, start + "c\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n");
            StringBuilder seen = new StringBuilder();
            while (!seen.toString().contains("100 Continue")) {
                seen.append((char) client.getInputStream().read());
            }
            write(client, "{}");
            String answer = seen + readToEnd(client);
            assertEquals(answer, 5, answer.split("HTTP/1.1 200|HTTP/1.1 100").length);
            assertEquals(
                    List.of("{\"a\":1}", "[1,2]", "{}"),
                    backend.requests.stream().map(FakeHttpServer.Request::body).toList());
        }
    }

    /** Requests that come before the answer to the one ahead wait, and keep their order. */
    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    go.await(10, TimeUnit.SECONDS);
                    write(
                            socket,
                            responseHead(200, CHUNKED_ENCODING)
                                    + chunk("data: " + request.requestId() + "\n\n" + DONE_EVENT) + "0\r\n\r\n");
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            String ahead = chatRequest("id-1", 5000).replace("Connection: close\r\n", "");
            write(client, ahead + ahead.replace("id-1", "id-2").substring(0, 40));
            waitUntil("taken", () -> backend.requests.size() == 1);
            write(client, ahead.replace("id-1", "id-2").substring(40));
            write(client, chatRequest("id-3", 5000));
            go.countDown();
            String answer = readToEnd(client);
            assertTrue(answer, answer.matches("(?s).*data: id-1\n.*data: id-2\n.*data: id-3\n.*"));
        }
    }

    /** A second request under an open id would be a second copy; after its end the id says nothing any more. */
    @Test
    public void duplicateInFlightRequestIdIsRejected() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    go.await(10, TimeUnit.SECONDS);
                    write(socket, COMPLETE_STREAM);
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            write(client, chatRequest("same", 5000));
            waitUntil("taken", () -> backend.requests.size() == 1);
            assertTrue(harness.exchange(0, chatRequest("same", 5000)).startsWith("HTTP/1.1 409"));
            go.countDown();
            assertTrue(readToEnd(client).startsWith("HTTP/1.1 200"));
            waitUntil("free again", () -> responds(harness, "same", "HTTP/1.1 200"));
        }
    }

    private static boolean responds(ServerHarness harness, String id, String start) {
        try {
            return harness.exchange(0, chatRequest(id, 3000)).startsWith(start);
        } catch (IOException e) {
            return false;
        }
    }

    /** Hundreds that connect and stay silent, or asked once and stay, must not keep out those who ask. */
    @Test
    public void silentConnectionsAreEvictedForActiveClients() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(socket, COMPLETE_STREAM));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 300; i++) {
                silent.add(harness.connect(0));
            }
            long start = System.nanoTime();
            assertTrue(harness.exchange(0, chatRequest("id", 1000)).startsWith("HTTP/1.1 200"));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
            for (Socket socket : silent) {
                assertEquals("", readToEnd(socket));
            }
            assertTrue("closed in time", System.nanoTime() - start < 3_000_000_000L);
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    /** What a backend finds wrong with the request itself is the client's to know, and no fault of the backend's. */
    @Test
    public void backendClientErrorIsForwardedWithoutEjection() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    boolean good = request.requestId().equals("good");
                    asked.incrementAndGet();
                    write(socket, good ? COMPLETE_STREAM : responseHead(400, "Content-Length: 3\r\n") + "bad");
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 5; i++) {
                String answer = harness.exchange(0, chatRequest("id-" + i, 3000));
                assertTrue(answer, answer.startsWith("HTTP/1.1 400") && answer.contains("bad"));
            }
            assertTrue(harness.exchange(0, chatRequest("good", 3000)).startsWith("HTTP/1.1 200"));
            assertEquals(6, asked.get());
        }
    }

    /** Spoilt before its first event was passed on: a failed attempt, and the flow goes elsewhere. */
    @Test
    public void streamCorruptBeforeFirstEventIsRetried() throws Exception {
        String[] spoilt = {
            "\u0001\u0002noise without a line's end",
            "nonsense\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX: " + "y".repeat(70_000),
            "HTTP/1.1 200 OK\r\nX: y",
            responseHead(200, CHUNKED_ENCODING) + "xyz\r\n",
            responseHead(200, CHUNKED_ENCODING) + "c0000000\r\n" + "x".repeat(50_000),
            responseHead(200, CHUNKED_ENCODING) + "2\r\nabcd\r\n",
            responseHead(200, CHUNKED_ENCODING) + "2\r\nda\r\nxyz\r\n",
            responseHead(200, CHUNKED_ENCODING) + chunk(": a comment\n\ndata: half") + "xyz\r\n",
            responseHead(200, CHUNKED_ENCODING) + "0\r\n\r\n",
            responseHead(200, CHUNKED_ENCODING, "Content-Length: 3\r\n") + "abc"
        };
        for (String answer : spoilt) {
            AtomicInteger attempts = new AtomicInteger();
            FakeHttpServer.ResponseScript script = (request, socket) -> {
                write(socket, attempts.getAndIncrement() == 0 ? answer : COMPLETE_STREAM);
                socket.getInputStream().read();
            };
            try (FakeHttpServer one = new FakeHttpServer(script);
                    FakeHttpServer two = new FakeHttpServer(script);
                    ServerHarness harness = ServerHarness.withBackends(one, two)) {
                long start = System.nanoTime();
                String got = harness.exchange(0, chatRequest("id", 4000));
                assertTrue(answer + " -> " + got, got.startsWith("HTTP/1.1 200") && got.endsWith("0\r\n\r\n"));
                assertEquals(2, attempts.get());
                assertTrue(System.nanoTime() - start < 2_000_000_000L);
            }
        }
    }

    /**
     * A backend that breaks off within its first event, or within its word that the request is wrong, has answered
     * nothing.
     */
    @Test
    public void streamTruncatedBeforeFirstEventIsRetried() throws Exception {
        String[] broken = {
            responseHead(200, CHUNKED_ENCODING),
            responseHead(200, CHUNKED_ENCODING) + "5\r\nda",
            responseHead(200, CHUNKED_ENCODING) + chunk("data: {\"choices\":[]}"),
            responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT.stripTrailing() + "\n"),
            responseHead(400, "Content-Length: 30\r\n") + "{\"error\":"
        };
        for (String answer : broken) {
            AtomicInteger attempts = new AtomicInteger();
            FakeHttpServer.ResponseScript script = (request, socket) -> {
                boolean first = attempts.getAndIncrement() == 0;
                write(socket, first ? answer : COMPLETE_STREAM);
                if (first) {
                    socket.close();
                }
            };
            try (FakeHttpServer one = new FakeHttpServer(script);
                    FakeHttpServer two = new FakeHttpServer(script);
                    ServerHarness harness = ServerHarness.withBackends(one, two)) {
                String got = harness.exchange(0, chatRequest("id", 4000));
                assertTrue(answer + " -> " + got, got.startsWith("HTTP/1.1 200") && got.endsWith("0\r\n\r\n"));
                assertEquals(2, attempts.get());
            }
        }
    }

    /**
     * The attempt's time is up while its first event comes in pieces: its stream is sound, and cutting it would lose
     * the request.
     */
    @Test
    public void partialFirstEventAtAttemptTimeoutIsForwarded() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING) + "8\r\ndata: ha\r\n");
                    seen.await(10, TimeUnit.SECONDS);
                    write(socket, chunk("lf\n\n") + chunk(DONE_EVENT) + "0\r\n\r\n");
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect(0)) {
            write(client, chatRequest("id", 600));
            StringBuilder got = new StringBuilder();
            while (!got.toString().endsWith("data: ha")) {
                int b = client.getInputStream().read();
                assertTrue(got.toString(), b >= 0);
                got.append((char) b);
            }
            seen.countDown();
            String answer = readToEnd(client);
            assertTrue(got + answer, got.toString().startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"));
            assertEquals(1, backend.requests.size());
        }
    }

    /** Spoilt later: nothing of the noise reaches the client, and its connection ends without a last chunk. */
    @Test
    public void streamCorruptAfterFirstEventEndsWithoutLastChunk() throws Exception {
        for (String noise : new String[] {
            "xyz\r\n", "c0000000\r\n" + "x".repeat(50_000), "ffffffffffffffffffff\r\n", "2\r\nabcd\r\n"
        }) {
            CountDownLatch go = new CountDownLatch(1);
            try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                        write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                        go.await(10, TimeUnit.SECONDS);
                        write(socket, noise);
                        socket.getInputStream().read();
                    });
                    ServerHarness harness = ServerHarness.withBackends(backend);
                    Socket client = harness.connect(0)) {
                write(client, chatRequest("id", 1000));
                while (!FakeHttpServer.readLine(client.getInputStream()).startsWith("data: ")) {
                    assertEquals(1, go.getCount());
                }
                long start = System.nanoTime();
                go.countDown();
                String answer = readToEnd(client);
                assertFalse(answer, answer.contains("0\r\n\r\n") || answer.contains("x") || answer.contains("abcd"));
                assertTrue(System.nanoTime() - start < 2_000_000_000L);
            }
        }
    }

    /** More than belongs to a good stream: the stream is whole, and the rest is no answer to the next request. */
    @Test
    public void interimAndTrailingResponsesAreIgnored() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(
                        socket,
                        "HTTP/1.1 100 Continue\r\n\r\n"
                                + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                + responseHead(200, CHUNKED_ENCODING, "X-Load: ???\r\n")
                                + chunk("data: " + request.requestId() + "\n\n" + DONE_EVENT)
                                + chunk(": X-Load: TEXT queue=\n\n")
                                + "0\r\n\r\n"
                                + responseHead(200, CHUNKED_ENCODING) + chunk("data: second\n\n") + "0\r\n\r\n"));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 5; i++) {
                String answer = harness.exchange(0, chatRequest("id-" + i, 3000));
                assertTrue(
                        answer,
                        answer.startsWith("HTTP/1.1 200")
                                && answer.contains("data: id-" + i + "\n\n")
                                && !answer.contains("second")
                                && answer.endsWith("0\r\n\r\n"));
            }
            assertEquals(5, backend.acceptedConnections.get());
        }
    }

    /** A refusal's status is known with its head; a body without end must not hold the flow up. */
    @Test
    public void errorStatusIsHandledWithoutWaitingForBody() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(503, "X-Not-Run: 1\r\n", "Content-Length: 9000000000\r\n") + "x");
                    socket.getInputStream().read();
                });
                FakeHttpServer other =
                        new FakeHttpServer((request, socket) -> write(socket, responseHead(500, NO_BODY)));
                ServerHarness harness = ServerHarness.withBackends(backend, other)) {
            long start = System.nanoTime();
            assertTrue(harness.exchange(0, chatRequest("id", 4000)).startsWith("HTTP/1.1 503"));
            assertTrue(System.nanoTime() - start < 2_000_000_000L);
        }
    }

    /** A list told whole names those that are gone by leaving them out; their connections must not stay. */
    @Test
    public void backendMissingFromCompleteListIsDisconnected() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(socket, COMPLETE_STREAM));
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING));
                    told.await(10, TimeUnit.SECONDS);
                    write(socket, chunk("{\"revision\":9,\"complete\":true,\"members\":[]}\n"));
                    socket.getInputStream().read();
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "subscribe",
                                discovery.address(),
                                ServerHarness.endpointJson(1, backend.address(), "c", "ready")),
                        null)) {
            assertTrue(harness.exchange(0, chatRequest("id", 3000)).startsWith("HTTP/1.1 200"));
            told.countDown();
            waitUntil("closed", () -> backend.closedConnections.get() == 1);
        }
    }

    /** A new process at an old address: what was idle leads to the one before, and may not even say so. */
    @Test
    public void restartedBackendGetsNewConnections() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> write(socket, COMPLETE_STREAM));
                FakeHttpServer discovery = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING));
                    told.await(10, TimeUnit.SECONDS);
                    write(
                            socket,
                            chunk("{\"revision\":9,\"complete\":false,\"members\":["
                                    + ServerHarness.endpointJson(1, backend.address(), "c", "ready")
                                            .replace("up_since_ms\":0", "up_since_ms\":5")
                                    + "]}\n"));
                    socket.getInputStream().read();
                });
                ServerHarness harness = new ServerHarness(
                        ServerHarness.configJson(
                                "subscribe",
                                discovery.address(),
                                ServerHarness.endpointJson(1, backend.address(), "c", "ready")),
                        null)) {
            assertTrue(harness.exchange(0, chatRequest("id", 3000)).startsWith("HTTP/1.1 200"));
            told.countDown();
            waitUntil("closed", () -> backend.closedConnections.get() == 1);
            assertTrue(harness.exchange(0, chatRequest("again", 3000)).startsWith("HTTP/1.1 200"));
            assertEquals(2, backend.acceptedConnections.get());
        }
    }
}
