package fawnlb.server;

import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.Requests.chat;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;

/**
 * Clients that make the server hold as much as they can, against the process with the least memory that the operators'
 * pages name and 1,024 descriptors. Other clients must get an answer at any time.
 */
public class MemoryLimitIT {
    private static final int DESCRIPTOR_LIMIT = 1024;
    private static final int CLIENTS = 700;
    private static final long PRESSURE_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int PARAMETERS = 900;

    private static String requestLine(String query) {
        return "POST " + Requests.CHAT_PATH + query
                + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: partial\r\nX-Class: chat\r\n";
    }

    /** Holds the pressure of many clients that send the same part of a request, and serves others meanwhile. */
    private static void assertProcessSurvives(String partialRequest) throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(Responses.COMPLETE_STREAM)) {
            Path config = ServerConfigJson.fixedList()
                    .maxSockets(DESCRIPTOR_LIMIT)
                    .endpoints(ready(1, backend))
                    .file();
            try (ServerProcess server = ServerProcess.serveAfter("ulimit -n " + DESCRIPTOR_LIMIT, config)) {
                int port = server.awaitPort();
                try (PartialRequests clients = new PartialRequests(port, partialRequest)) {
                    clients.connect(CLIENTS);
                    long endNanos = System.nanoTime() + PRESSURE_NANOS;
                    for (int i = 0; System.nanoTime() < endNanos; i++) {
                        assertTrue("the process runs", server.isAlive());
                        assertAnswered(port, "during" + i);
                        clients.reconnectClosed();
                    }
                }
                assertTrue("the process runs", server.isAlive());
                Await.waitUntil("served again", () -> responseTo(port, "after").startsWith("HTTP/1.1 200"));
            }
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
        String head = requestLine("") + "Content-Length: " + LARGE_BODY_BYTES + "\r\n\r\n";
        assertProcessSurvives(head + "x".repeat(LARGE_BODY_BYTES / 2));
    }

    private static String parameters(String first, String separator) {
        return IntStream.range(0, PARAMETERS)
                .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX))
                .collect(Collectors.joining(separator, first, ""));
    }

    /** Guards against OutOfMemoryError by incomplete heads whose query holds hundreds of short parameters. */
    @Test
    public void incompleteHeadsWithManyParametersDoNotEndTheProcess() throws Exception {
        assertProcessSurvives(requestLine(parameters("?", "&")));
    }

    /** Guards against OutOfMemoryError by incomplete heads whose path holds hundreds of short parameters. */
    @Test
    public void incompleteHeadsWithManyPathParametersDoNotEndTheProcess() throws Exception {
        assertProcessSurvives(requestLine(parameters(";", ";")));
    }
}
