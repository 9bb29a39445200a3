package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Timeouts of streams, slow clients, and the admin listener that shows both. */
public class ResponseStreamTest {
    /** They take twice the timeout of a silence in the test that writes them. */
    private static final int SLOW_BYTES = 10;

    /** Guards against answers that are cut off as silent while their backend writes a chunk's size slowly. */
    @Test
    public void backendThatWritesFramingSlowlyIsNotSilent() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream(CONTENT_EVENT));
                    for (int i = 0; i < SLOW_BYTES; i++) {
                        TimeUnit.MILLISECONDS.sleep(200);
                        write(connection, "0");
                    }
                    write(connection, chunk(DONE_EVENT) + LAST_CHUNK);
                });
                ServerHarness harness = ServerHarness.withStreams(
                        "{\"silence\":{\"learned\":false,\"pause-ms\":1000,\"most-ms\":1000}}", backend)) {
            String response = harness.exchange(chat("id", 4000));

            assertTrue(response, response.contains(DONE_EVENT.trim()) && response.endsWith(LAST_CHUNK));
        }
    }

    /** Short timeouts keep the tests short. */
    static final String SHORT_TIMEOUTS =
            "{\"silence\":{\"pause-ms\":200,\"most-ms\":400},\"readers\":{\"patience-ms\":500},"
                    + "\"admin\":{\"listen\":\"127.0.0.1:0\"}}";

    private static final String QUICK = "quick";

    /** Returns what the admin listener shows while no stream is open. */
    private static String awaitTableWithoutStreams(ServerHarness harness) throws IOException {
        waitUntil("no open stream", () -> harness.backendTable().contains("\n0 stream(s) open"));
        return harness.backendTable();
    }

    @Test
    public void stalledStreamIsAbortedWithoutLastChunk() throws Exception {
        String eventBegun = chunk(CONTENT_EVENT) + "20\r\ndata: {\"a\":\"";
        List<String> stallPoints = List.of(
                chunk(CONTENT_EVENT),
                chunk(CONTENT_EVENT) + "2",
                chunk(CONTENT_EVENT) + "20\r\n",
                eventBegun,
                eventBegun + "\u00e2");
        for (String sent : stallPoints) {
            try (FakeHttpServer backend = FakeHttpServer.holdingOpenAfter(openStream() + sent);
                    ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend)) {
                String response = harness.exchange(chat("a", 4000));

                assertTrue(response, response.startsWith("HTTP/1.1 200") && response.contains(CONTENT_EVENT));
                assertFalse(response, response.endsWith(LAST_CHUNK));
                String table = awaitTableWithoutStreams(harness);
                assertTrue(table, table.contains("stalled-midway 1"));
            }
        }
    }

    /** Guards against streams that are cut without a line in the log that says which and why. */
    @Test
    public void cutStreamIsLoggedWithRequestAndReason() throws Exception {
        try (CapturedLog log = new CapturedLog("fawnlb.backend.CutStreamLog");
                FakeHttpServer backend = FakeHttpServer.responding(stream(CONTENT_EVENT));
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend)) {
            harness.exchange(chat("id", 4000));
            awaitTableWithoutStreams(harness);

            assertEquals(
                    List.of("stream cut request_id=id backend=" + backend.address()
                            + " reason=cut-short-midway suppressed=0"),
                    log.lines());
        }
    }

    /** The framing has ended and the response has not: the client must not take it for complete. */
    @Test
    public void responseWithoutFinalEventIsTruncated() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(stream(CONTENT_EVENT));
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend)) {
            String response = harness.exchange(chat("a", 4000));

            assertFalse(response, response.endsWith(LAST_CHUNK));
            awaitTableWithoutStreams(harness);
            String json = harness.backendJson();
            assertTrue(json, json.contains("\"cut-short-midway\":1"));
        }
    }

    /**
     * The rest of the first attempt's head arrives when the second attempt has begun: the response is of one of them.
     */
    @Test
    public void stalledResponseHeadIsRetried() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        FakeHttpServer.ResponseScript script = (request, connection) -> {
            if (attempts.incrementAndGet() == 1) {
                write(connection, "HTTP/1.1 200 OK\r\nContent-");
                waitUntil("retried", () -> attempts.get() > 1);
                write(connection, "Type: x\r\n\r\n");
            } else {
                write(connection, COMPLETE_STREAM);
            }
        };
        try (FakeHttpServer one = new FakeHttpServer(script);
                FakeHttpServer two = new FakeHttpServer(script);
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, one, two)) {
            String response = harness.exchange(chat("a", 4000));

            assertTrue(response, response.endsWith(LAST_CHUNK));
            assertEquals(2, attempts.get());
            String table = awaitTableWithoutStreams(harness);
            assertTrue(table, table.contains("stalled-before-head 1"));
        }
    }

    /** A backend whose streams are endless, apart from those for requests whose id begins with {@link #QUICK}. */
    private static FakeHttpServer endlessBackend(AtomicInteger cancelledAttempts) throws IOException {
        String event = "data: {\"choices\":[{\"delta\":{\"content\":\"" + "x".repeat(8000) + "\"}}]}\n\n";
        return new FakeHttpServer((request, connection) -> {
            if (request.requestId().startsWith(QUICK)) {
                write(connection, COMPLETE_STREAM);
                return;
            }
            write(connection, openStream());
            try {
                while (true) {
                    write(connection, chunk(event));
                }
            } catch (IOException e) {
                cancelledAttempts.incrementAndGet();
                throw e;
            }
        });
    }

    private static void assertQuickRequestIsServed(ServerHarness harness, int number) throws IOException {
        assertTrue(harness.exchange(chat(QUICK + "-" + number, 4000)).endsWith(LAST_CHUNK));
    }

    /** A client that stops reading delays its own stream alone, and the backend's work for it ends. */
    @Test
    public void stoppedClientIsDisconnectedWithoutDelayingOthers() throws Exception {
        AtomicInteger cancelledAttempts = new AtomicInteger();
        try (FakeHttpServer backend = endlessBackend(cancelledAttempts);
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend);
                Socket stopped = harness.connect()) {
            stopped.setReceiveBufferSize(4096);
            write(stopped, chat("stopped", 4000));
            waitUntil("one slow client", () -> harness.backendTable().contains("reader s"));

            assertQuickRequestIsServed(harness, 1);

            waitUntil("the backend's work is cancelled", () -> cancelledAttempts.get() == 1);
            String table = awaitTableWithoutStreams(harness);
            assertTrue(table, table.contains("reader-stopped 1"));
            assertTrue(table, table.contains("\n0 stream(s) open, 0 byte(s) held"));
        }
    }

    /** The backend is read as fast as the client reads, and the stream goes on. */
    @Test
    public void slowClientIsNotDisconnected() throws Exception {
        Duration readingTime = Duration.ofMillis(1500);
        AtomicInteger cancelledAttempts = new AtomicInteger();
        try (FakeHttpServer backend = endlessBackend(cancelledAttempts);
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend);
                Socket slow = harness.connect()) {
            write(slow, chat("slow", 4000));

            InputStream in = slow.getInputStream();
            byte[] part = new byte[1 << 16];
            Stopwatch stopwatch = new Stopwatch();
            while (stopwatch.elapsed().compareTo(readingTime) < 0) {
                assertTrue(in.read(part) > 0);
            }

            assertEquals(0, cancelledAttempts.get());
        }
    }

    /**
     * A backend that sends without end to a client that reads everything gets its turn on the event loop, and no more.
     */
    @Test
    public void endlessStreamDoesNotDelayOthers() throws Exception {
        AtomicInteger cancelledAttempts = new AtomicInteger();
        try (FakeHttpServer backend = endlessBackend(cancelledAttempts);
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend);
                Socket fast = harness.connect()) {
            write(fast, chat("fast", 4000));
            readInBackground(fast);

            for (int i = 0; i < 20; i++) {
                assertQuickRequestIsServed(harness, i);
            }

            assertEquals(0, cancelledAttempts.get());
        }
    }

    private static void readInBackground(Socket client) {
        Thread reader = new Thread(() -> {
            try {
                client.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                // The test has ended.
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** A request line and the status that it gets. */
    private record AdminRequest(String requestLine, int status) {}

    @Test
    public void adminListenerServesOnlyReadRequests() throws Exception {
        List<AdminRequest> requests = List.of(
                new AdminRequest("GET /targets HTTP/1.1", 200),
                new AdminRequest("GET /targets.json HTTP/1.1", 200),
                new AdminRequest("GET /x HTTP/1.1", 404),
                new AdminRequest("DELETE /targets HTTP/1.1", 405));
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> awaitClose(connection));
                ServerHarness harness = ServerHarness.withStreams(SHORT_TIMEOUTS, backend)) {
            for (AdminRequest request : requests) {
                String response = harness.exchangeWithAdmin(
                        request.requestLine() + "\r\nHost: x\r\n" + Requests.CLOSE_CONNECTION + "\r\n");

                assertTrue(response, response.startsWith("HTTP/1.1 " + request.status()));
            }
        }
    }
}
