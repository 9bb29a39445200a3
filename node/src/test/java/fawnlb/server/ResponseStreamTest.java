package fawnlb.server;

import static fawnlb.server.FakeHttpServer.CHUNKED_ENCODING;
import static fawnlb.server.FakeHttpServer.chunk;
import static fawnlb.server.FakeHttpServer.responseHead;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.ServerHarness.waitUntil;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.admin.AdminClient;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** The rules on streams, on real sockets. */
public class ResponseStreamTest {
    private static final String CONTENT_EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String DONE_EVENT = "data: [DONE]\n\n";
    /** Short times, so that what must be waited for is not waited for long. */
    private static final String SHORT_TIMEOUTS =
            "{\"silence\":{\"pause-ms\":200,\"most-ms\":400},\"readers\":{\"patience-ms\":500},"
                    + "\"admin\":{\"listen\":\"127.0.0.1:0\"}}";

    private static String readAdmin(ServerHarness harness, boolean json) throws IOException {
        return json
                ? AdminClient.fetchTargetsAsJson(harness.server.adminAddress())
                : AdminClient.fetchTargets(harness.server.adminAddress());
    }

    private static void waitForOpenStreams(ServerHarness harness, int streams) {
        waitUntil(streams + " open", () -> {
            try {
                return readAdmin(harness, false).contains("\n" + streams + " stream(s) open");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    public void stalledStreamIsAbortedWithoutLastChunk() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        String[] places = {
            chunk(CONTENT_EVENT),
            chunk(CONTENT_EVENT) + "2",
            chunk(CONTENT_EVENT) + "20\r\n",
            chunk(CONTENT_EVENT) + "20\r\ndata: {\"a\":\"",
            chunk(CONTENT_EVENT) + "20\r\ndata: {\"a\":\"\u00e2"
        };
        for (String bytes : places) {
            try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                        write(socket, responseHead(200, CHUNKED_ENCODING) + bytes);
                        over.await();
                    });
                    ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend)) {
                String answer = harness.exchange(0, ServerHarness.chatRequest("a", 4000));
                assertTrue(answer, answer.startsWith("HTTP/1.1 200") && answer.contains(CONTENT_EVENT));
                assertFalse(answer, answer.endsWith("0\r\n\r\n"));
                waitForOpenStreams(harness, 0);
                assertTrue(readAdmin(harness, false), readAdmin(harness, false).contains("stalled-midway 1"));
            }
        }
        over.countDown();
    }

    /** The framing ended, the answer did not: the client must not take it for whole. */
    @Test
    public void responseWithoutFinalEventIsTruncated() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) ->
                        write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT) + "0\r\n\r\n"));
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend)) {
            String answer = harness.exchange(0, ServerHarness.chatRequest("a", 4000));
            assertFalse(answer, answer.endsWith("0\r\n\r\n"));
            waitForOpenStreams(harness, 0);
            assertTrue(readAdmin(harness, true), readAdmin(harness, true).contains("\"cut-short-midway\":1"));
        }
    }

    /** A retry that begins as the first attempt's first byte arrives: one answer, of one of them. */
    @Test
    public void stalledResponseHeadIsRetried() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        FakeHttpServer.ResponseScript script = (request, socket) -> {
            if (asked.incrementAndGet() == 1) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-");
                waitUntil("given up", () -> asked.get() > 1);
                write(socket, "Type: x\r\n\r\n");
            } else {
                write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT + DONE_EVENT) + "0\r\n\r\n");
            }
        };
        try (FakeHttpServer one = new FakeHttpServer(script);
                FakeHttpServer two = new FakeHttpServer(script);
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, one, two)) {
            String answer = harness.exchange(0, ServerHarness.chatRequest("a", 4000));
            assertTrue(answer, answer.endsWith("0\r\n\r\n"));
            assertEquals(2, asked.get());
            waitForOpenStreams(harness, 0);
            assertTrue(readAdmin(harness, false), readAdmin(harness, false).contains("stalled-before-head 1"));
        }
    }

    /** What a backend sends until its connection takes no more. */
    private static FakeHttpServer.ResponseScript endlessResponse(AtomicInteger closed) {
        byte[] text = new byte[8000];
        Arrays.fill(text, (byte) 'x');
        String event = "data: {\"choices\":[{\"delta\":{\"content\":\"" + new String(text, StandardCharsets.US_ASCII)
                + "\"}}]}\n\n";
        return (request, socket) -> {
            if (request.requestId().startsWith("quick")) {
                write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT + DONE_EVENT) + "0\r\n\r\n");
                return;
            }
            write(socket, responseHead(200, CHUNKED_ENCODING));
            try {
                while (true) {
                    write(socket, chunk(event));
                }
            } catch (IOException e) {
                closed.incrementAndGet();
                throw e;
            }
        };
    }

    /** A reader that stops holds up its own stream alone, and its backend's work is called off in the end. */
    @Test
    public void stoppedClientIsDisconnectedWithoutDelayingOthers() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        try (FakeHttpServer backend = new FakeHttpServer(endlessResponse(closed));
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend);
                Socket stopped = harness.connect(0)) {
            stopped.setReceiveBufferSize(4096);
            write(stopped, ServerHarness.chatRequest("stopped", 4000));
            waitUntil("one reader lags", () -> {
                try {
                    return readAdmin(harness, false).contains("reader s");
                } catch (IOException e) {
                    return false;
                }
            });
            assertTrue(harness.exchange(0, ServerHarness.chatRequest("quick", 4000))
                    .endsWith("0\r\n\r\n"));
            waitUntil("its target's work is called off", () -> closed.get() == 1);
            waitForOpenStreams(harness, 0);
            assertTrue(readAdmin(harness, false), readAdmin(harness, false).contains("reader-stopped 1"));
            assertTrue(readAdmin(harness, false).contains("\n0 stream(s) open, 0 byte(s) held"));
        }
    }

    /** A backend that outruns its reader is read from no faster than the reader reads, and gets its answer through. */
    @Test
    public void slowClientIsNotDisconnected() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        try (FakeHttpServer backend = new FakeHttpServer(endlessResponse(closed));
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend);
                Socket slow = harness.connect(0)) {
            write(slow, ServerHarness.chatRequest("slow", 4000));
            InputStream in = slow.getInputStream();
            byte[] some = new byte[1 << 16];
            long end = System.nanoTime() + 1_500_000_000L;
            while (System.nanoTime() < end) {
                assertTrue(in.read(some) > 0);
            }
            assertEquals(0, closed.get());
        }
    }

    @Test
    public void adminListenerServesOnlyReadRequests() throws Exception {
        String[][] table = {
            {"GET /targets HTTP/1.1", "200"},
            {"GET /targets.json HTTP/1.1", "200"},
            {"GET /x HTTP/1.1", "404"},
            {"DELETE /targets HTTP/1.1", "405"}
        };
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {});
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend)) {
            for (String[] row : table) {
                String answer = harness.exchange(1, row[0] + "\r\nHost: x\r\nConnection: close\r\n\r\n");
                assertTrue(answer, answer.startsWith("HTTP/1.1 " + row[1]));
            }
        }
    }

    /** A backend that sends without end to a reader who takes it all has its turn, and no more. */
    @Test
    public void endlessStreamDoesNotDelayOthers() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        try (FakeHttpServer backend = new FakeHttpServer(endlessResponse(closed));
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend);
                Socket fast = harness.connect(0)) {
            write(fast, ServerHarness.chatRequest("fast", 4000));
            Thread reader = new Thread(() -> {
                try {
                    fast.getInputStream().transferTo(OutputStream.nullOutputStream());
                } catch (IOException e) {
                    // The test is over.
                }
            });
            reader.setDaemon(true);
            reader.start();
            for (int i = 0; i < 20; i++) {
                assertTrue(harness.exchange(0, ServerHarness.chatRequest("quick-" + i, 4000))
                        .endsWith("0\r\n\r\n"));
            }
            assertEquals(0, closed.get());
        }
    }

    /** A stalled stream does not keep a node from ending. */
    @Test
    public void shutdownDoesNotWaitBeyondStallTimeout() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, socket) -> {
                    write(socket, responseHead(200, CHUNKED_ENCODING) + chunk(CONTENT_EVENT));
                    over.await();
                });
                ServerHarness harness = ServerHarness.withStreamConfig(SHORT_TIMEOUTS, backend);
                Socket client = harness.connect(0)) {
            write(client, ServerHarness.chatRequest("a", 4000));
            waitUntil("flowing", () -> harness.server.openRequests() == 1 && backend.requests.size() == 1);
            long begun = System.nanoTime();
            harness.server.shutDownGracefully();
            assertTrue(System.nanoTime() - begun < 5_000_000_000L);
            assertEquals(0, harness.server.openRequests());
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer, answer.contains(CONTENT_EVENT) && !answer.endsWith("0\r\n\r\n"));
        }
        over.countDown();
    }
}
