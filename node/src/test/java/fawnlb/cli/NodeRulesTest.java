package fawnlb.cli;

import static fawnlb.cli.Rigged.chat;
import static fawnlb.cli.Rigged.until;
import static fawnlb.cli.StandIn.CHUNKED;
import static fawnlb.cli.StandIn.EMPTY;
import static fawnlb.cli.StandIn.chunk;
import static fawnlb.cli.StandIn.head;
import static fawnlb.cli.StandIn.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.LogLines;
import fawnlb.config.NodeConfig;
import fawnlb.config.StartConfig;
import fawnlb.config.StreamConfig;
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
public class NodeRulesTest {
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private static StandIn serving() throws IOException {
        return new StandIn((request, socket) ->
                write(socket, head(200, CHUNKED) + chunk(EVENT) + chunk(": odd\n\n" + DONE) + "0\r\n\r\n"));
    }

    @Test
    public void requestAndEventsPassUnchanged() throws Exception {
        try (StandIn backend = serving();
                Rigged rig = Rigged.with(backend)) {
            String answer = rig.ask(0, chat("id-1", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"));
            assertTrue(answer, answer.replaceAll("\r\n[0-9a-f]+\r\n", "").contains(EVENT + ": odd\n\n" + DONE));
            StandIn.Request seen = backend.requests.get(0);
            assertEquals("POST /v1/chat/completions?q=1 HTTP/1.1", seen.line());
            assertEquals("{\"a\":1}", seen.body());
            assertEquals("id-1", seen.id());
            assertTrue(Integer.parseInt(seen.headers().get("x-deadline-ms")) > 1000);
            until("nothing open", () -> rig.node.open() == 0);
        }
    }

    /** Backends know a repeat of a keyed class by it; without it they take none of its requests. */
    @Test
    public void theKeyByWhichBackendsKnowARepeatIsPassedOn() throws Exception {
        try (StandIn backend = serving();
                Rigged rig = Rigged.with(backend)) {
            rig.ask(0, chat("id-1", 3000, "idempotency-key: \"a b; c\"\r\n"));
            rig.ask(0, chat("id-2", 3000));
            assertEquals("\"a b; c\"", backend.requests.get(0).headers().get("idempotency-key"));
            assertFalse(backend.requests.get(1).headers().containsKey("idempotency-key"));
            String twice = rig.ask(0, chat("id-3", 3000, "Idempotency-Key: a\r\n", "Idempotency-Key: b\r\n"));
            assertTrue(twice, twice.startsWith("HTTP/1.1 400") && twice.contains("given more than once"));
            assertEquals(2, backend.requests.size());
        }
    }

    @Test
    public void eventsPassAsTheyCome() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        try (StandIn backend = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED) + chunk(EVENT));
                    seen.await(10, TimeUnit.SECONDS);
                    write(socket, chunk(DONE) + "0\r\n\r\n");
                });
                Rigged rig = Rigged.with(backend);
                Socket client = rig.connect(0)) {
            write(client, chat("id", 3000));
            InputStream in = client.getInputStream();
            while (!StandIn.line(in).startsWith("data: {")) {
                assertEquals(1, seen.getCount());
            }
            seen.countDown();
            assertTrue(new String(in.readAllBytes()).endsWith("0\r\n\r\n"));
        }
    }

    @Test
    public void connectionsToBackendsAreUsedAgain() throws Exception {
        try (StandIn backend = serving();
                Rigged rig = Rigged.with(backend)) {
            for (int i = 0; i < 5; i++) {
                rig.ask(0, chat("id-" + i, 3000));
                until("nothing open", () -> rig.node.open() == 0);
                Rigged.rest();
            }
            assertEquals(5, backend.requests.size());
            assertEquals(1, backend.connections.get());
        }
    }

    @Test
    public void aBrokenStreamEndsWithoutALastChunk() throws Exception {
        try (StandIn backend = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED) + chunk(EVENT));
                    socket.close();
                });
                Rigged rig = Rigged.with(backend)) {
            String answer = rig.ask(0, chat("id", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 200") && !answer.contains("\r\n0\r\n"));
            assertEquals(1, backend.requests.size());
        }
    }

    /** A backend cut off from us keeps its connection open and says nothing. */
    @Test
    public void aStreamThatFallsSilentIsEndedWithinFiveSeconds() throws Exception {
        try (StandIn backend = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED) + chunk(EVENT));
                    socket.getInputStream().read();
                });
                Rigged rig = Rigged.with(backend)) {
            long start = System.nanoTime();
            String answer = rig.ask(0, chat("id", 1000));
            assertTrue(answer.startsWith("HTTP/1.1 200") && !answer.contains("\r\n0\r\n"));
            assertTrue(System.nanoTime() - start < 6_000_000_000L);
        }
    }

    @Test
    public void aSilentBackendIsAnsweredForBeforeTheDeadlineWithATimeToComeBack() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (StandIn backend = new StandIn((request, socket) -> {
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                Rigged rig = Rigged.with(backend)) {
            rig.ask(0, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            long start = System.nanoTime();
            String answer = rig.ask(0, chat("id", 700));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 2\r\n"));
            assertTrue("the forward is called off", closed.await(5, TimeUnit.SECONDS));
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void whatIsGivenUpIsAnsweredAtOnce() throws Exception {
        try (StandIn backend = new StandIn((request, socket) -> write(socket, head(503, EMPTY, "X-Not-Run: 1\r\n")));
                Rigged rig = Rigged.with(backend)) {
            long start = System.nanoTime();
            String answer = rig.ask(0, chat("id", 4000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: "));
            assertTrue(System.nanoTime() - start < 2_000_000_000L);
        }
    }

    @Test
    public void oneAttemptAtATimeAndSixInAll() throws Exception {
        AtomicInteger out = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        StandIn[] backends = new StandIn[8];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new StandIn((request, socket) -> {
                most.accumulateAndGet(out.incrementAndGet(), Math::max);
                out.decrementAndGet();
                write(socket, head(500, EMPTY));
            });
        }
        try (Rigged rig = Rigged.with(backends)) {
            String answer = rig.ask(0, chat("id", 3000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503"));
            int tries = 0;
            for (StandIn backend : backends) {
                tries += backend.requests.size();
                backend.close();
            }
            assertTrue("tries " + tries, tries > 1 && tries <= 6);
            assertEquals(1, most.get());
        }
    }

    @Test
    public void aBackendThatRefusesConnectionsCostsNoAnswer() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        try (StandIn backend = serving();
                Rigged rig = new Rigged(
                        Rigged.config(
                                "automatic",
                                "127.0.0.1:1",
                                Rigged.member(1, "127.0.0.1:" + port, "c", "ready") + ","
                                        + Rigged.member(2, backend.address(), "c", "ready")),
                        null)) {
            for (int i = 0; i < 6; i++) {
                assertTrue(rig.ask(0, chat("id-" + i, 3000, "X-Key: " + i + "\r\n"))
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void aClientThatLeavesCallsTheAttemptOff() throws Exception {
        clientLeaves(false, "");
        clientLeaves(true, "");
    }

    /** Some send their next request, or much more than one, and go. */
    @Test
    public void aClientThatLeavesBehindWhatItSentAheadIsSeenToLeave() throws Exception {
        for (String ahead :
                List.of("GET", Rigged.chat("ahead", 4000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2000))) {
            clientLeaves(false, ahead);
            clientLeaves(true, ahead);
        }
    }

    private static void clientLeaves(boolean streaming, String ahead) throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (StandIn backend = new StandIn((request, socket) -> {
                    if (streaming) {
                        write(socket, head(200, CHUNKED) + chunk(EVENT));
                    }
                    asked.countDown();
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                Rigged rig = Rigged.with(backend)) {
            try (Socket client = rig.connect(0)) {
                write(client, chat("id", 4000).replace("Connection: close\r\n", "") + ahead);
                assertTrue(asked.await(5, TimeUnit.SECONDS));
                if (streaming) {
                    client.getInputStream().read();
                }
            }
            assertTrue("streaming " + streaming, closed.await(2, TimeUnit.SECONDS));
            until("nothing open", () -> rig.node.open() == 0);
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void nothingNewGoesToADrainingBackend() throws Exception {
        try (StandIn draining = serving();
                StandIn ready = serving();
                StandIn discovery = new StandIn((request, socket) -> {
                    write(
                            socket,
                            head(200, CHUNKED)
                                    + chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                            + Rigged.member(1, draining.address(), "c", "draining") + ","
                                            + Rigged.member(2, ready.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                Rigged rig = new Rigged(
                        Rigged.config(
                                "subscribe", discovery.address(), Rigged.member(1, draining.address(), "c", "ready")),
                        null)) {
            until("the change is told", () -> {
                try {
                    rig.ask(0, chat("id", 3000));
                } catch (IOException e) {
                    return false;
                }
                return !ready.requests.isEmpty();
            });
            int before = draining.requests.size();
            for (int i = 0; i < 10; i++) {
                rig.ask(0, chat("id-" + i, 3000, "X-Key: " + i + "\r\n"));
            }
            assertEquals(before, draining.requests.size());
            assertTrue(discovery.requests.get(0).line().contains("watch=1&from=1"));
        }
    }

    /** A backend that left and came back under its id must have its connections kept again, not one a request. */
    @Test
    public void aBackendThatComesBackIsAsBefore() throws Exception {
        try (StandIn backend = serving();
                StandIn discovery = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED));
                    for (String phase : new String[] {"gone", "ready"}) {
                        write(
                                socket,
                                chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                        + Rigged.member(1, backend.address(), "c", phase) + "]}\n"));
                    }
                    socket.getInputStream().read();
                });
                Rigged rig = new Rigged(Rigged.config("subscribe", discovery.address(), ""), null)) {
            for (int i = 0; i < 5; i++) {
                assertTrue(rig.ask(0, chat("id-" + i, 3000)).startsWith("HTTP/1.1 200"));
                until("nothing open", () -> rig.node.open() == 0);
                Rigged.rest();
            }
            assertEquals(1, backend.connections.get());
        }
    }

    /** A request written to a connection that its backend is just closing would count as a reset. */
    @Test
    public void anIdleConnectionIsRetiredBeforeItsBackendClosesIt() throws Exception {
        try (StandIn backend = serving();
                Rigged rig = new Rigged(
                        Rigged.config("automatic", "127.0.0.1:1", Rigged.member(1, backend.address(), "c", "ready"))
                                .replace("15000000000", "2000000000"),
                        null)) {
            rig.ask(0, chat("id", 3000));
            long start = System.nanoTime();
            until("retired", () -> backend.closed.get() == 1);
            assertTrue(System.nanoTime() - start < 2_000_000_000L);
        }
    }

    /** A machine that vanished answers no connect: waiting for the system to give up would cost the request. */
    @Test
    public void aConnectThatNeverComesUpIsTakenBack() throws Exception {
        List<Socket> fill = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                StandIn backend = serving();
                Rigged rig = new Rigged(
                        Rigged.config(
                                "automatic",
                                "127.0.0.1:1",
                                Rigged.member(1, "127.0.0.1:" + full.getLocalPort(), "c", "ready") + ","
                                        + Rigged.member(2, backend.address(), "c", "ready")),
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
                assertTrue(rig.ask(0, chat("id-" + i, 2000, "X-Key: " + i + "\r\n"))
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
    public void aListThatIsPushedIsFollowedToo() throws Exception {
        try (StandIn before = serving();
                StandIn after = serving();
                StandIn agent = new StandIn((request, socket) -> {
                    write(
                            socket,
                            head(200, CHUNKED)
                                    + chunk("{\"revision\":2,\"complete\":true,\"members\":["
                                            + Rigged.member(2, after.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                Rigged rig = new Rigged(
                        Rigged.config("automatic", agent.address(), Rigged.member(1, before.address(), "c", "ready")),
                        null)) {
            until("moved to the listed target", () -> answers(rig, "HTTP/1.1 200") && !after.requests.isEmpty());
            assertTrue(
                    agent.requests.get(0).line(), agent.requests.get(0).line().contains("watch=1"));
        }
    }

    /** A line for each of them was 900 a second once, and hid all others. */
    @Test
    public void manyCallsThatFailAlikeAreOneLineInTheLog() throws Exception {
        try (LogLines log = new LogLines("fawnlb.discovery.Discovery");
                StandIn discovery = new StandIn((request, socket) -> write(socket, head(503, EMPTY)));
                Rigged rig = new Rigged(Rigged.config("subscribe", discovery.address(), ""), null)) {
            until("called again and again", () -> discovery.requests.size() >= 12);
            assertEquals(0, rig.node.open());
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
    public void aDiscoveryThatCountsAnewIsAskedForTheWholeList() throws Exception {
        try (StandIn discovery = new StandIn((request, socket) -> {
                    boolean whole =
                            request.line().contains("from=0") || request.line().contains("from=1");
                    write(
                            socket,
                            head(200, CHUNKED)
                                    + chunk("{\"revision\":" + (whole ? 40 : 3) + ",\"complete\":" + whole
                                            + ",\"members\":[]}\n"));
                    socket.close();
                });
                Rigged rig = new Rigged(Rigged.config("subscribe", discovery.address(), ""), null)) {
            until("asked again", () -> discovery.requests.size() >= 3);
            assertEquals(0, rig.node.open());
            assertTrue(
                    discovery.requests.get(1).line(),
                    discovery.requests.get(1).line().contains("from=40"));
            assertTrue(
                    discovery.requests.get(2).line(),
                    discovery.requests.get(2).line().contains("from=0"));
        }
    }

    /** Discovery that vanished says nothing: what it would have told counts as told six seconds later. */
    @Test
    public void aWatchThatFallsSilentOrEndsIsOpenedAgainFromTheLastRevision() throws Exception {
        AtomicBoolean silent = new AtomicBoolean();
        try (StandIn discovery = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED) + chunk("{\"revision\":7,\"complete\":true,\"members\":[]}\n"));
                    if (silent.getAndSet(true)) {
                        socket.getInputStream().read();
                    } else {
                        socket.close();
                    }
                });
                Rigged rig = new Rigged(Rigged.config("subscribe", discovery.address(), ""), null)) {
            until("opened again after its end", () -> discovery.requests.size() >= 2);
            long start = System.nanoTime();
            until("opened again after silence", () -> discovery.requests.size() >= 3);
            assertTrue(System.nanoTime() - start < 5_500_000_000L);
            assertEquals(0, rig.node.open());
            assertTrue(
                    discovery.requests.get(2).line(),
                    discovery.requests.get(2).line().contains("from=7"));
        }
    }

    @Test
    public void malformedRequestsGetAClearAnswer() throws Exception {
        try (StandIn backend = serving();
                Rigged rig = Rigged.with(backend)) {
            String id = "X-Request-Id: i\r\nConnection: close\r\n";
            String[][] cases = {
                {
                    Rigged.post("/v1/chat/completions", "{}", "X-Class: chat\r\nConnection: close\r\n"),
                    "400",
                    "X-Request-Id"
                },
                {Rigged.post("/v1/chat/completions", "{}", id), "400", "X-Class"},
                {
                    Rigged.post("/v1/chat/completions", "{}", id, "X-Class: chat\r\nX-Deadline-Ms: x\r\n"),
                    "400",
                    "X-Deadline-Ms"
                },
                {Rigged.post("/v1/chat/completions", "x".repeat(300_000), id, "X-Class: chat\r\n"), "413", "256 KiB"},
                {Rigged.post("/v2", "", id), "404", ""},
                {"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "405", "POST"},
                {"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200", "ready"},
            };
            for (String[] row : cases) {
                String answer = rig.ask(0, row[0]);
                assertTrue(answer, answer.startsWith("HTTP/1.1 " + row[1]) && answer.contains(row[2]));
            }
            assertEquals(0, backend.requests.size());
        }
    }

    private static boolean answers(Rigged rig, String start) {
        try {
            String answer = rig.ask(0, chat("id", 3000));
            assertEquals(answer, answer.startsWith("HTTP/1.1 503"), answer.contains("Retry-After: 1\r\n"));
            return answer.startsWith(start);
        } catch (IOException e) {
            return false;
        }
    }

    /** A connection left unaccepted gets no answer at all; idle ones make room, and then refusals do. */
    @Test
    public void beyondItsConnectionsANodeClosesIdleOnesAndThenRefuses() throws Exception {
        int attempts = 200 / 3;
        int most = 200 - attempts - 48;
        CountDownLatch go = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (StandIn backend = new StandIn((request, socket) -> {
                    go.await(10, TimeUnit.SECONDS);
                    write(socket, head(200, CHUNKED) + chunk(DONE) + "0\r\n\r\n");
                });
                Rigged rig = Rigged.with(backend)) {
            for (int i = 0; i < most; i++) {
                clients.add(rig.connect(0));
                // Those that no attempt can be had for are busy with a body that does not come.
                String request = chat("id-" + i, 9000).replace("Connection: close\r\n", "");
                write(clients.get(i), i < attempts ? request : request.substring(0, request.length() - 1));
            }
            until("all busy", () -> backend.requests.size() == attempts);
            String answer = rig.ask(0, chat("over", 9000));
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 1\r\n"));
            go.countDown();
            until("all idle", () -> rig.node.open() == 0);
            assertTrue(rig.ask(0, chat("after", 9000)).startsWith("HTTP/1.1 200"));
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
    }

    /** Idle connections to one backend must not use up what an attempt to another needs. */
    @Test
    public void idleConnectionsToBackendsMakeRoomForAttemptsToOthers() throws Exception {
        int attempts = 200 / 3;
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch drained = new CountDownLatch(1);
        StandIn.Script script = (request, socket) -> {
            go.await(10, TimeUnit.SECONDS);
            write(socket, head(200, CHUNKED) + chunk(DONE) + "0\r\n\r\n");
        };
        List<Socket> clients = new ArrayList<>();
        try (StandIn full = new StandIn(script);
                StandIn other = new StandIn(script);
                StandIn discovery = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED));
                    drained.await(10, TimeUnit.SECONDS);
                    write(
                            socket,
                            chunk("{\"revision\":2,\"complete\":false,\"members\":["
                                    + Rigged.member(1, full.address(), "c", "draining") + ","
                                    + Rigged.member(2, other.address(), "c", "ready") + "]}\n"));
                    socket.getInputStream().read();
                });
                Rigged rig = new Rigged(
                        Rigged.config("subscribe", discovery.address(), Rigged.member(1, full.address(), "c", "ready")),
                        null)) {
            for (int i = 0; i < attempts; i++) {
                clients.add(rig.connect(0));
                write(clients.get(i), chat("id-" + i, 9000));
            }
            until("all out", () -> full.requests.size() == attempts);
            go.countDown();
            until("all idle", () -> rig.node.open() == 0);
            drained.countDown();
            until("served by the other", () -> answers(rig, "HTTP/1.1 200") && !other.requests.isEmpty());
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
        }
    }

    /** A reader that stands still must stop the reading from the backend, not fill memory. */
    @Test
    public void aSlowReaderHoldsItsBackendBack() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        String big = chunk("data: " + "x".repeat(65_000) + "\n\n");
        try (StandIn backend = new StandIn((request, socket) -> {
                    write(socket, head(200, CHUNKED));
                    for (; sent.get() < 1000; sent.incrementAndGet()) {
                        write(socket, big);
                    }
                    write(socket, "0\r\n\r\n");
                });
                Rigged rig = Rigged.with(backend);
                Socket client = rig.connect(0)) {
            write(client, chat("id", 3000));
            until("begun", () -> sent.get() > 0);
            long[] last = {-1, 0};
            until("held back", () -> {
                last[1] = sent.get() == last[0] ? last[1] : System.nanoTime();
                last[0] = sent.get();
                return System.nanoTime() - last[1] > 500_000_000L;
            });
            assertTrue("sent " + sent.get(), sent.get() < 1000);
            long got = client.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
            assertTrue("got " + got, got > 65_000_000);
            assertFalse(rig.node.open() > 1);
        }
    }

    /**
     * The signal may come at any time of a start, and must not leave a process that ends only when its address is free.
     */
    @Test
    public void aNodeThatIsToldToEndWhileItStartsGivesUpWaitingForItsAddress() throws Exception {
        try (ServerSocket predecessor = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            NodeConfig config = NodeConfig.read(
                    Rigged.file(Rigged.config("automatic", "127.0.0.1:1", "")
                            .replace("127.0.0.1:0", "127.0.0.1:" + predecessor.getLocalPort())),
                    Map.of());
            Node node = new Node(config, null, StartConfig.none(config.settings()), StreamConfig.none());
            FutureTask<String> start = new FutureTask<>(() -> {
                try {
                    node.start();
                    return "started";
                } catch (IOException e) {
                    return e.getMessage();
                }
            });
            new Thread(start).start();
            node.drain();
            String how = start.get(5, TimeUnit.SECONDS);
            assertTrue(how, how.contains("told to end"));
        }
    }
}
