package fawnlb.server;

import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.responseHead;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Responses that break or fall silent. A client must never take an incomplete response for a complete one. */
public class BrokenResponseTest {
    @Test
    public void brokenStreamEndsWithoutLastChunk() throws Exception {
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream(CONTENT_EVENT));
                    connection.close();
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String response = harness.exchange(chat("id", 3000));

            assertTrue(response, response.startsWith("HTTP/1.1 200") && !response.contains("\r\n0\r\n"));
            assertEquals(1, backend.requests.size());
        }
    }

    /** A backend behind a broken network keeps its connection open and sends nothing. */
    @Test
    public void silentStreamIsEndedWithinFiveSeconds() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.holdingOpenAfter(openStream(CONTENT_EVENT));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            Stopwatch stopwatch = new Stopwatch();

            String response = harness.exchange(chat("id", 1000));

            assertTrue(response, response.startsWith("HTTP/1.1 200") && !response.contains("\r\n0\r\n"));
            stopwatch.assertBelow(Duration.ofSeconds(6));
        }
    }

    @Test
    public void silentBackendYieldsRetryAfterBeforeDeadline() throws Exception {
        CountDownLatch attemptCancelled = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    if (awaitClose(connection)) {
                        attemptCancelled.countDown();
                    }
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            harness.exchange(Requests.READINESS);
            Stopwatch stopwatch = new Stopwatch();

            String response = harness.exchange(chat("id", 700));

            stopwatch.assertBelow(Duration.ofSeconds(1));
            assertTrue(response, response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: 2\r\n"));
            assertTrue("the attempt is cancelled", attemptCancelled.await(5, TimeUnit.SECONDS));
            assertEquals(1, backend.requests.size());
        }
    }

    /** Nothing of the corrupt bytes reaches the client. */
    @Test
    public void streamCorruptAfterFirstEventEndsWithoutLastChunk() throws Exception {
        String[] corruptChunks = {
            "xyz\r\n", "c0000000\r\n" + "x".repeat(50_000), "ffffffffffffffffffff\r\n", "2\r\nabcd\r\n"
        };
        for (String corrupt : corruptChunks) {
            CountDownLatch firstEventReceived = new CountDownLatch(1);
            try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                        write(connection, openStream(CONTENT_EVENT));
                        firstEventReceived.await(10, TimeUnit.SECONDS);
                        write(connection, corrupt);
                        awaitClose(connection);
                    });
                    ServerHarness harness = ServerHarness.withBackends(backend);
                    Socket client = harness.connect()) {
                write(client, chat("id", 1000));
                while (!FakeHttpServer.readLine(client.getInputStream()).startsWith("data: ")) {
                    assertEquals(1, firstEventReceived.getCount());
                }
                Stopwatch stopwatch = new Stopwatch();
                firstEventReceived.countDown();

                String rest = ServerHarness.readToResetOrEnd(client);

                assertFalse(rest, rest.contains(LAST_CHUNK) || rest.contains("x") || rest.contains("abcd"));
                stopwatch.assertBelow(Duration.ofSeconds(2));
            }
        }
    }

    /** The response is complete, and what comes behind it is no response to the next request. */
    @Test
    public void interimAndTrailingResponsesAreIgnored() throws Exception {
        String interimResponses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> write(
                        connection,
                        interimResponses
                                + responseHead(200, CHUNKED_ENCODING, "X-Load: ???\r\n")
                                + chunk("data: " + request.requestId() + "\n\n" + DONE_EVENT)
                                + chunk(": X-Load: TEXT queue=\n\n")
                                + LAST_CHUNK
                                + stream("data: second\n\n")));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 5; i++) {
                String response = harness.exchange(chat("id-" + i, 3000));

                assertTrue(response, response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK));
                assertTrue(response, response.contains("data: id-" + i + "\n\n") && !response.contains("second"));
            }
            assertEquals(5, backend.acceptedConnections.get());
        }
    }
}
