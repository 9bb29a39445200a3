package fawnlb.server;

import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.CHUNKED_ENCODING;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.responseHead;
import static org.junit.Assert.assertTrue;

import fawnlb.server.FakeHttpServer.ResponseScript;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.After;
import org.junit.Test;

/**
 * Clients and backends that make the server hold as much as they can, against the process with the least memory that
 * the operators' pages name and 1,024 descriptors. Other clients must get an answer at any time.
 */
public class MemoryLimitIT {
    private static final int DESCRIPTOR_LIMIT = 1024;
    private static final int MEMORY_LIMIT_MEGABYTES = 160;
    private static final int CLIENTS = 700;
    private static final int BACKENDS = 8;
    private static final long PRESSURE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int LARGE_EVENT_BYTES = 200_000;
    private static final int PARAMETERS = 900;
    private static final String PRESSING_ID = "pressing";

    private static final ResponseScript NO_PRESSURE =
            (request, connection) -> write(connection, Responses.COMPLETE_STREAM);

    private final List<FakeHttpServer> fakeServers = new ArrayList<>();

    @After
    public void closeFakeServers() throws IOException {
        for (FakeHttpServer fakeServer : fakeServers) {
            fakeServer.close();
        }
    }

    private static String requestStart(String query) {
        return "POST " + Requests.CHAT_PATH + query + " HTTP/1.1\r\nHost: x\r\nX-Class: chat\r\nX-Request-Id: "
                + PRESSING_ID;
    }

    /** A script for requests that have no part in the pressure, and another one for those that have. */
    private static ResponseScript respondingToPressure(ResponseScript script) {
        return (request, connection) -> {
            if (request.requestId().startsWith(PRESSING_ID)) {
                script.respond(request, connection);
            } else {
                NO_PRESSURE.respond(request, connection);
            }
        };
    }

    private Path startFleet(ResponseScript script) throws IOException {
        String[] endpoints = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            FakeHttpServer backend = new FakeHttpServer(script);
            fakeServers.add(backend);
            endpoints[i] = ready(i, backend);
        }
        FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(openStream(completeList(1, endpoints)));
        fakeServers.add(discovery);
        return ServerConfigJson.watching(discovery)
                .maxSockets(DESCRIPTOR_LIMIT)
                .memoryMegabytes(MEMORY_LIMIT_MEGABYTES)
                .maxHeldRequests(CLIENTS)
                .file();
    }

    /**
     * Holds the pressure of many clients that send the same bytes, and serves others meanwhile.
     *
     * @param reconnects whether the clients read, and replace closed connections
     */
    private void assertProcessSurvives(String sent, ResponseScript script, boolean reconnects) throws Exception {
        Path config = startFleet(script);
        try (ServerProcess server = ServerProcess.serveAfter("ulimit -n " + DESCRIPTOR_LIMIT, config)) {
            int port = server.awaitPort();
            Await.waitUntil("ready", () -> ServerProcess.isReady(port));
            try (PartialRequests clients = new PartialRequests(port, sent)) {
                clients.connect(CLIENTS);
                long endNanos = System.nanoTime() + PRESSURE_NANOS;
                for (int i = 0; System.nanoTime() < endNanos; i++) {
                    assertTrue("the process runs", server.isAlive());
                    assertAnswered(port, "during" + i);
                    if (reconnects) {
                        clients.reconnectClosed();
                    }
                }
                long memoryMegabytes = server.peakMemoryMegabytes();
                assertTrue(memoryMegabytes + " MB", memoryMegabytes < MEMORY_LIMIT_MEGABYTES);
            }
            assertTrue("the process runs", server.isAlive());
            Await.waitUntil("served again", () -> responseTo(port, "after").startsWith("HTTP/1.1 200"));
        }
    }

    private static void assertAnswered(int port, String id) throws IOException {
        String response = responseTo(port, id);
        boolean isRejection = response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: ");
        assertTrue(response, isRejection || response.startsWith("HTTP/1.1 200"));
    }

    private static String responseTo(int port, String id) throws IOException {
        return ServerProcess.exchange(port, chat(id, 3000));
    }

    /**
     * Guards against OutOfMemoryError by rejected bodies, which stayed reachable for the two seconds of their close.
     */
    @Test
    public void halfSentLargeBodiesOfManyClientsDoNotEndTheProcess() throws Exception {
        String head = requestStart("") + "\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n";
        assertProcessSurvives(head + "x".repeat(LARGE_BODY_BYTES / 2), NO_PRESSURE, true);
    }

    private static String parameters(String first, String separator) {
        return IntStream.range(0, PARAMETERS)
                .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX))
                .collect(Collectors.joining(separator, first, ""));
    }

    /** Guards against OutOfMemoryError by incomplete heads whose query holds hundreds of short parameters. */
    @Test
    public void incompleteHeadsWithManyParametersDoNotEndTheProcess() throws Exception {
        assertProcessSurvives(requestStart(parameters("?", "&")), NO_PRESSURE, true);
    }

    /** Guards against OutOfMemoryError by incomplete heads whose path holds hundreds of short parameters. */
    @Test
    public void incompleteHeadsWithManyPathParametersDoNotEndTheProcess() throws Exception {
        assertProcessSurvives(requestStart(parameters(";", ";")), NO_PRESSURE, true);
    }

    private static String smallRequest() {
        // Each client has an id of its own: two requests with one id are not served at the same time.
        return requestStart("") + PartialRequests.CLIENT_NUMBER
                + "\r\nX-Deadline-Ms: 7000\r\nContent-Length: 2\r\n\r\n{}";
    }

    private static String largeEvent() {
        return "data: " + "x".repeat(LARGE_EVENT_BYTES);
    }

    /** Guards against OutOfMemoryError by first events that are withheld until they are complete. */
    @Test
    public void incompleteFirstEventsOfManyBackendsDoNotEndTheProcess() throws Exception {
        String start = responseHead(200, CHUNKED_ENCODING) + Integer.toHexString(2 * LARGE_EVENT_BYTES) + "\r\n";
        assertProcessSurvives(
                smallRequest(),
                respondingToPressure((request, connection) -> {
                    write(connection, start + largeEvent());
                    FakeHttpServer.awaitClose(connection);
                }),
                true);
    }

    /** Guards against OutOfMemoryError by answers that wait in memory for clients which read nothing. */
    @Test
    public void longAnswersToClientsThatReadNothingDoNotEndTheProcess() throws Exception {
        String event = chunk(largeEvent() + "\n\n");
        assertProcessSurvives(
                smallRequest(),
                respondingToPressure((request, connection) ->
                        write(connection, openStream() + event.repeat(3) + chunk(Responses.DONE_EVENT))),
                false);
    }
}
