package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CHAT_PATH;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.get;
import static fawnlb.server.Requests.post;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
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

/** Requests that break HTTP or the interface. None of them may reach a backend, or get the response of one. */
public class MalformedRequestTest {
    private static final String ID = "X-Request-Id: i\r\n";
    private static final String CLASS = "X-Class: chat\r\n";
    private static final String HEAD = "POST " + CHAT_PATH + " HTTP/1.1\r\nHost: x\r\n" + CLOSE_CONNECTION + ID + CLASS;

    /** Within this time a client gets an error or a close that does not send its request in time. */
    private static final Duration BAD_CLIENT_LIMIT = Duration.ofSeconds(3);

    private static final List<String> UNPARSABLE_REQUESTS = List.of(
            "GET / HTTP/1.1\r\nHost: x\r\nX: " + "x".repeat(100_000),
            HEAD + "X: y\r\n".repeat(100) + "Content-Length: 2\r\n\r\n{}",
            HEAD + "Content-Length: -2\r\n\r\n{}",
            HEAD + "Content-Length: +2\r\n\r\n{}",
            HEAD + "Content-Length: two\r\n\r\n{}",
            HEAD + "Content-Length: 2, 2\r\n\r\n{}",
            HEAD + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            HEAD + "Content-Length: 2000000000\r\n\r\n{}",
            HEAD + "Content-Length: 99999999999999999999\r\n\r\n{}",
            HEAD + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            HEAD + "Content-Length : 2\r\n\r\n{}",
            HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            HEAD + "Transfer-Encoding: identity\r\n\r\n{}",
            HEAD + CHUNKED_ENCODING + "\r\nzz\r\n{}\r\n0\r\n\r\n",
            HEAD + CHUNKED_ENCODING + "\r\n-2\r\n{}\r\n0\r\n\r\n",
            HEAD + CHUNKED_ENCODING + "\r\n2\r\n{}}\r\n0\r\n\r\n",
            HEAD + CHUNKED_ENCODING + "\r\nfffffffff\r\n{}",
            HEAD + CHUNKED_ENCODING + "\r\n" + chunk("x".repeat(200_000)).repeat(2) + LAST_CHUNK,
            HEAD.replace("1.1", "1.0") + "Content-Length: 2\r\n\r\n{}",
            HEAD + "X-Request-Id: j\r\nContent-Length: 2\r\n\r\n{}",
            HEAD + "X-Deadline-Ms: 10.5\r\nContent-Length: 2\r\n\r\n{}",
            HEAD + "X-Deadline-Ms: -1\r\nContent-Length: 2\r\n\r\n{}",
            post(CHAT_PATH, "{}", CLASS, CLOSE_CONNECTION),
            post(CHAT_PATH, "{}", ID, "X-Class: none\r\n", CLOSE_CONNECTION),
            HEAD + "Content-Length: 10\r\n\r\n{}",
            HEAD + "\r\n",
            HEAD + "Content-Length: 0\r\n\r\n",
            HEAD + "Content-Len",
            "\0\1\2\3\r\n\r\n",
            "",
            "P");

    /** The end of a request to the broker, and the status that it gets. */
    private record Rejection(String requestEnd, int status) {}

    private static final List<Rejection> BROKER_REJECTIONS = List.of(
            new Rejection("Content-Length: 2000000000\r\n\r\n{}", 413),
            new Rejection("Content-Length: -1\r\n\r\n{}", 400),
            new Rejection("Content-Length: 5\r\n" + CHUNKED_ENCODING + "\r\n0\r\n\r\n", 400),
            new Rejection(CHUNKED_ENCODING + "\r\nzz\r\n", 400),
            new Rejection("Content-Length: 9\r\n\r\n{", 408));

    private static final String BROKER_HEAD =
            "POST " + CHAT_PATH + " HTTP/1.1\r\nHost: x\r\n" + CLOSE_CONNECTION + "x-api-key: k\r\nX-Request-Id: i\r\n";
    private static final String BROKER_BODY =
            "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final String BROKER_REQUEST =
            BROKER_HEAD + CHUNKED_ENCODING + "\r\n" + chunk(BROKER_BODY) + LAST_CHUNK;
    private static final String BROKER_CONFIG =
            "{\"listen\":\"127.0.0.1:0\",\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\"],\"models\":[\"m\"],"
                    + "\"deadline-ms\":5000,\"budget\":{\"requests\":1000,\"tokens\":1000000,\"window-ms\":1000}}]}";

    /** The server may respond and close the connection before it has read all of the request. */
    private static void writeIgnoringClose(Socket client, String text) {
        try {
            write(client, text);
        } catch (IOException e) {
            // The response is still there to be read.
        }
    }

    @Test
    public void unparsableRequestGetsErrorOrCloseWithinThreeSeconds() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            Stopwatch stopwatch = new Stopwatch();
            List<Socket> clients = new ArrayList<>();
            for (String request : UNPARSABLE_REQUESTS) {
                Socket client = harness.connect();
                clients.add(client);
                writeIgnoringClose(client, request);
            }

            for (int i = 0; i < clients.size(); i++) {
                String response = ServerHarness.readToResetOrEnd(clients.get(i));
                boolean closedOrError = response.isEmpty() || response.matches("(?s)HTTP/1.[01] [45].*");
                assertTrue(UNPARSABLE_REQUESTS.get(i) + " -> " + response, closedOrError);
            }
            stopwatch.assertBelow(Duration.ofSeconds(3));
            assertEquals(0, backend.requests.size());
            assertTrue(harness.exchange(chat("good", 3000)).startsWith("HTTP/1.1 200"));
        }
    }

    /** A malformed request, and the status and a word of its response. */
    private record Malformed(String request, int status, String expectedWord) {}

    @Test
    public void malformedRequestIsRejectedWithReason() throws Exception {
        List<Malformed> requests = List.of(
                new Malformed(post(CHAT_PATH, "{}", CLASS, CLOSE_CONNECTION), 400, "X-Request-Id"),
                new Malformed(post(CHAT_PATH, "{}", ID, CLOSE_CONNECTION), 400, "X-Class"),
                new Malformed(
                        post(CHAT_PATH, "{}", ID, CLOSE_CONNECTION, CLASS, "X-Deadline-Ms: x\r\n"),
                        400,
                        "X-Deadline-Ms"),
                new Malformed(post(CHAT_PATH, "x".repeat(300_000), ID, CLOSE_CONNECTION, CLASS), 413, "256 KiB"),
                new Malformed(post("/v2", "", ID, CLOSE_CONNECTION), 404, ""),
                new Malformed(get(CHAT_PATH), 405, "POST"));
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (Malformed malformed : requests) {
                String response = harness.exchange(malformed.request());

                assertTrue(response, response.startsWith("HTTP/1.1 " + malformed.status()));
                assertTrue(response, response.contains(malformed.expectedWord()));
            }
            assertEquals(0, backend.requests.size());
        }
    }

    @Test
    public void readinessIsReported() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String response = harness.exchange(Requests.READINESS);

            assertTrue(response, response.startsWith("HTTP/1.1 200") && response.contains("ready"));
            assertEquals(0, backend.requests.size());
        }
    }

    /** Both listeners share one parser. A rejection releases the request's id for the next request. */
    @Test
    public void brokerListenerParsesAsStrictly() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBroker(
                        ServerConfigJson.fixedList().endpoints(ready(1, backend)), BROKER_CONFIG)) {
            for (Rejection rejection : BROKER_REJECTIONS) {
                Socket client = harness.connectToBroker();
                writeIgnoringClose(client, BROKER_HEAD + rejection.requestEnd());

                String response = ServerHarness.readToResetOrEnd(client);

                assertTrue(
                        rejection.requestEnd() + " -> " + response,
                        response.startsWith("HTTP/1.1 " + rejection.status()));
            }
            assertEquals(0, backend.requests.size());

            assertTrue(harness.exchangeWithBroker(BROKER_REQUEST).startsWith("HTTP/1.1 200"));
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void brokerListenerRejectsDuplicateInFlightRequestId() throws Exception {
        CountDownLatch duplicateRejected = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((ignored, connection) -> {
                    duplicateRejected.await(10, TimeUnit.SECONDS);
                    write(connection, COMPLETE_STREAM);
                });
                ServerHarness harness = ServerHarness.withBroker(
                        ServerConfigJson.fixedList().endpoints(ready(1, backend)), BROKER_CONFIG);
                Socket client = harness.connectToBroker()) {
            write(client, BROKER_REQUEST);
            waitUntil("request received", () -> backend.requests.size() == 1);

            assertTrue(harness.exchangeWithBroker(BROKER_REQUEST).startsWith("HTTP/1.1 409"));

            duplicateRejected.countDown();
            assertTrue(ServerHarness.readToResetOrEnd(client).startsWith("HTTP/1.1 200"));
        }
    }

    /** A request that never ends, and what is sent of it again and again. */
    private record EndlessRequest(String start, String repeated) {}

    /** Guards against requests that are kept by the bytes of a head or of framing that never end. */
    @Test
    public void endlessHeadOrFramingIsRejectedInTime() throws Exception {
        for (EndlessRequest request : List.of(
                new EndlessRequest(HEAD + "X: ", "x"),
                new EndlessRequest(HEAD + CHUNKED_ENCODING + "\r\n", "0"),
                new EndlessRequest(HEAD + CHUNKED_ENCODING + "\r\n2;", "x"),
                new EndlessRequest(HEAD + CHUNKED_ENCODING + "\r\n2\r\n{}\r\n0\r\nx:", "x"))) {
            try (ServerHarness harness = ServerHarness.withBackends();
                    Socket client = harness.connect()) {
                Stopwatch stopwatch = new Stopwatch();
                write(client, request.start());
                Thread writer = new Thread(() -> writeRepeatedly(client, request.repeated()));
                writer.start();

                ServerHarness.readToResetOrEnd(client);

                stopwatch.assertBelow(BAD_CLIENT_LIMIT);
                writer.join();
            }
        }
    }

    private static void writeRepeatedly(Socket client, String text) {
        try {
            while (true) {
                write(client, text);
                TimeUnit.MILLISECONDS.sleep(150);
            }
        } catch (IOException | InterruptedException e) {
            // The server or the test has closed the connection.
        }
    }
}
