package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CHAT_PATH;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.chatKeepingConnection;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.COMPLETE_STREAM;
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

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;

/** What is forwarded from clients to backends and back. */
public class RequestForwardingTest {
    private static final String COMMENT = ": odd\n\n";

    private static String withoutChunkSizes(String response) {
        return response.replaceAll("\r\n[0-9a-f]+\r\n", "");
    }

    @Test
    public void requestAndEventsAreForwardedUnchanged() throws Exception {
        String response = stream(CONTENT_EVENT, COMMENT + DONE_EVENT);
        try (FakeHttpServer backend = FakeHttpServer.responding(response);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String forwarded = harness.exchange(chat("id-1", 3000));

            assertTrue(forwarded, forwarded.startsWith("HTTP/1.1 200") && forwarded.endsWith(LAST_CHUNK));
            assertTrue(forwarded, withoutChunkSizes(forwarded).contains(CONTENT_EVENT + COMMENT + DONE_EVENT));
            FakeHttpServer.Request request = backend.requests.get(0);
            assertEquals("POST /v1/chat/completions?q=1 HTTP/1.1", request.requestLine());
            assertEquals("{\"a\":1}", request.body());
            assertEquals("id-1", request.requestId());
            assertTrue(Integer.parseInt(request.headers().get("x-deadline-ms")) > 1000);
            harness.awaitNoOpenRequests();
        }
    }

    @Test
    public void idempotencyKeyIsForwarded() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            harness.exchange(chat("id-1", 3000, "idempotency-key: \"a b; c\"\r\n"));
            harness.exchange(chat("id-2", 3000));

            assertEquals("\"a b; c\"", backend.requests.get(0).headers().get("idempotency-key"));
            assertFalse(backend.requests.get(1).headers().containsKey("idempotency-key"));
        }
    }

    @Test
    public void duplicateIdempotencyKeyIsRejected() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String response = harness.exchange(chat("id", 3000, "Idempotency-Key: a\r\n", "Idempotency-Key: b\r\n"));

            assertTrue(response, response.startsWith("HTTP/1.1 400") && response.contains("given more than once"));
            assertEquals(0, backend.requests.size());
        }
    }

    @Test
    public void eventsAreForwardedAsTheyArrive() throws Exception {
        CountDownLatch firstEventReceived = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream(CONTENT_EVENT));
                    firstEventReceived.await(10, TimeUnit.SECONDS);
                    write(connection, chunk(DONE_EVENT) + LAST_CHUNK);
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            write(client, chat("id", 3000));

            InputStream in = client.getInputStream();
            while (!FakeHttpServer.readLine(in).startsWith("data: {")) {
                assertEquals(1, firstEventReceived.getCount());
            }
            firstEventReceived.countDown();
            assertTrue(ServerHarness.readToEnd(client).endsWith(LAST_CHUNK));
        }
    }

    @Test
    public void chunkedFragmentedOrContinuedBodyIsForwardedComplete() throws Exception {
        String head = "POST " + CHAT_PATH + " HTTP/1.1\r\nHost: x\r\nX-Class: chat\r\nX-Request-Id: ";
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            String chunked = chunk("{\"a\"") + "3;x=y\r\n:1}\r\n0\r\nTrailer: z\r\n\r\n";
            write(client, head + "a\r\n" + CHUNKED_ENCODING + "\r\n" + chunked);
            waitUntil("chunked request received", () -> backend.requests.size() == 1);
            // Sent behind the first request's body, before its response has ended.
            writeInFragments(client, head + "b\r\nContent-Length: 5\r\n\r\n[1,2]");
            waitUntil("fragmented request received", () -> backend.requests.size() == 2);
            write(client, head + "c\r\nExpect: 100-continue\r\n" + CLOSE_CONNECTION + "Content-Length: 2\r\n\r\n");
            String received = readThrough(client, "100 Continue");
            write(client, "{}");
            String responses = received + ServerHarness.readToEnd(client);

            assertEquals(responses, 5, responses.split("HTTP/1.1 200|HTTP/1.1 100").length);
            assertEquals(
                    List.of("{\"a\":1}", "[1,2]", "{}"),
                    backend.requests.stream().map(FakeHttpServer.Request::body).toList());
        }
    }

    private static void writeInFragments(Socket client, String text) throws Exception {
        int fragmentLength = 50;
        for (int i = 0; i < text.length(); i += fragmentLength) {
            write(client, text.substring(i, Math.min(text.length(), i + fragmentLength)));
        }
    }

    private static String readThrough(Socket client, String text) throws Exception {
        StringBuilder received = new StringBuilder();
        while (!received.toString().contains(text)) {
            received.append((char) client.getInputStream().read());
        }
        return received.toString();
    }

    /** Requests that arrive before the response to the one ahead wait, and keep their order. */
    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        CountDownLatch pipelined = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    pipelined.await(10, TimeUnit.SECONDS);
                    write(connection, stream("data: " + request.requestId() + "\n\n" + DONE_EVENT));
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            String second = chatKeepingConnection("id-2", 5000);
            write(client, chatKeepingConnection("id-1", 5000) + second.substring(0, 40));
            waitUntil("first request received", () -> backend.requests.size() == 1);
            write(client, second.substring(40));
            write(client, chat("id-3", 5000));
            pipelined.countDown();

            String responses = ServerHarness.readToEnd(client);
            assertTrue(responses, responses.matches("(?s).*data: id-1\n.*data: id-2\n.*data: id-3\n.*"));
        }
    }

    /** A second request with the id would be a second copy; after the first one's end, the id is free. */
    @Test
    public void duplicateInFlightRequestIdIsRejected() throws Exception {
        CountDownLatch duplicateRejected = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    duplicateRejected.await(10, TimeUnit.SECONDS);
                    write(connection, COMPLETE_STREAM);
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            write(client, chat("same", 5000));
            waitUntil("first request received", () -> backend.requests.size() == 1);

            assertTrue(harness.exchange(chat("same", 5000)).startsWith("HTTP/1.1 409"));
            duplicateRejected.countDown();
            assertTrue(ServerHarness.readToEnd(client).startsWith("HTTP/1.1 200"));
            waitUntil("id is free", () -> harness.exchange(chat("same", 3000)).startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * A backend that finds the request itself wrong is healthy: the client gets the response, and nothing is ejected.
     */
    @Test
    public void backendClientErrorIsForwardedWithoutEjection() throws Exception {
        String clientError = responseHead(400, "Content-Length: 3\r\n") + "bad";
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) ->
                        write(connection, request.requestId().equals("good") ? COMPLETE_STREAM : clientError));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 5; i++) {
                String response = harness.exchange(chat("id-" + i, 3000));
                assertTrue(response, response.startsWith("HTTP/1.1 400") && response.contains("bad"));
            }

            assertTrue(harness.exchange(chat("good", 3000)).startsWith("HTTP/1.1 200"));
            assertEquals(6, backend.requests.size());
        }
    }

    @Test
    public void slowClientAppliesBackpressureToBackend() throws Exception {
        int events = 1000;
        AtomicInteger sentEvents = new AtomicInteger();
        String largeEvent = chunk("data: " + "x".repeat(65_000) + "\n\n");
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream());
                    for (; sentEvents.get() < events; sentEvents.incrementAndGet()) {
                        write(connection, largeEvent);
                    }
                    write(connection, LAST_CHUNK);
                });
                ServerHarness harness = ServerHarness.withBackends(backend);
                Socket client = harness.connect()) {
            write(client, chat("id", 3000));
            waitUntil("response begun", () -> sentEvents.get() > 0);
            awaitStandstill(sentEvents);

            assertTrue("sent " + sentEvents.get(), sentEvents.get() < events);
            long receivedBytes = client.getInputStream().transferTo(OutputStream.nullOutputStream());
            assertTrue("received " + receivedBytes, receivedBytes > 65_000_000);
            assertFalse(harness.server.openRequests() > 1);
        }
    }

    /** Waits until a counter has not changed for half a second. */
    private static void awaitStandstill(AtomicInteger counter) {
        long standstillNanos = TimeUnit.MILLISECONDS.toNanos(500);
        AtomicInteger lastValue = new AtomicInteger(-1);
        AtomicLong lastChangeNanos = new AtomicLong();
        waitUntil("standstill", () -> {
            int value = counter.get();
            if (lastValue.getAndSet(value) != value) {
                lastChangeNanos.set(System.nanoTime());
            }
            return System.nanoTime() - lastChangeNanos.get() > standstillNanos;
        });
    }
}
