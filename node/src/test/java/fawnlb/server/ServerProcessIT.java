package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CHAT_PATH;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static fawnlb.server.ServerConfigJson.WITHOUT_RESTORED_ENDPOINT_FILTER;
import static fawnlb.server.ServerConfigJson.temporaryFile;
import static fawnlb.server.ServerProcess.connect;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;

/** Limits and the lifecycle of the process as a whole, on the program as the deploy file starts it. */
public class ServerProcessIT {
    private static final String REQUEST_HEAD = "POST " + CHAT_PATH + " HTTP/1.1\r\nHost: x\r\n" + CLOSE_CONNECTION;

    /** Without a free descriptor, XNIO accepts nothing for 250 ms at a time, and no client gets a response. */
    @Test
    public void silentClientBurstLeavesDescriptorsForOthers() throws Exception {
        Path config = ServerConfigJson.fixedList().file();
        Path startup = temporaryFile(WITHOUT_RESTORED_ENDPOINT_FILTER);
        try (ServerProcess server = ServerProcess.serveAfter("ulimit -n 200", config, startup);
                IdleClients silentClients = new IdleClients()) {
            int port = server.awaitPort();
            silentClients.connect(port, 600);

            String response = ServerProcess.exchange(port, Requests.READINESS);

            assertTrue(response, response.startsWith("HTTP/1.1 200"));
            server.signal("TERM");
            String log = server.readLogToEnd();
            assertFalse(log, log.contains("Too many open files"));
        }
    }

    /**
     * As many unfinished heads as there may be clients, and as many bodies of the largest size as may wait for backends
     * that do not read: together they must fit the heap, since the process ends with status 3 when it is out of memory.
     */
    @Test
    public void incompleteHeadsAndPendingBodiesFitHeap() throws Exception {
        try (ServerSocket unreadingBackend = new ServerSocket()) {
            unreadingBackend.setReceiveBufferSize(4096);
            unreadingBackend.bind(new InetSocketAddress("127.0.0.1", 0), 1000);
            Path config = ServerConfigJson.fixedList()
                    .endpoints(ready(1, "127.0.0.1:" + unreadingBackend.getLocalPort()))
                    .maxSockets(1024)
                    .maxHeldRequests(2000)
                    .file();
            Path startup = temporaryFile(WITHOUT_RESTORED_ENDPOINT_FILTER);
            try (ServerProcess server = ServerProcess.serveAfter("ulimit -n 1024", config, startup)) {
                int port = server.awaitPort();
                for (int headerLength : new int[] {110, 240}) {
                    assertHeadsAndBodiesGetErrors(port, unfinishedHead(headerLength));
                }
                assertTrue("still running", server.isAlive());
            }
        }
    }

    private static String unfinishedHead(int headerLength) {
        String headers = IntStream.range(0, 62)
                .mapToObj(i -> "X-" + i + ": " + "y".repeat(headerLength) + "\r\n")
                .collect(Collectors.joining());
        return REQUEST_HEAD + headers;
    }

    private static String requestWithLargestBody(String id) {
        String body = "x".repeat(250_000);
        return REQUEST_HEAD + "X-Request-Id: " + id + "\r\nX-Class: chat\r\nX-Deadline-Ms: 4000\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static void assertHeadsAndBodiesGetErrors(int port, String unfinishedHead) throws IOException {
        int headCount = 520;
        int bodyCount = 100;
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < headCount + bodyCount; i++) {
                Socket client = connect(port);
                clients.add(client);
                boolean sendsHead = i < headCount;
                write(client, sendsHead ? unfinishedHead : requestWithLargestBody(unfinishedHead.length() + "-" + i));
            }
            for (Socket client : clients) {
                String response = ServerHarness.readToEnd(client);
                assertTrue(response, response.isEmpty() || response.matches("(?s)HTTP/1.1 [45].*"));
                client.close();
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** The log line for this list is longer than a pipe's buffer, and nobody reads the process's output. */
    @Test
    public void unreadLogOutputDoesNotBlockServing() throws Exception {
        String invalidAddress = "x".repeat(200_000) + ":y";
        String list = "{\"revision\":2,\"members\":[" + ready(1, invalidAddress) + "]}\n";
        int port = ServerHarness.unusedPort();
        try (FakeHttpServer discovery = FakeHttpServer.responding(stream(list));
                ServerProcess server = ServerProcess.serve(ServerConfigJson.watching(discovery)
                        .listenAddress("127.0.0.1:" + port)
                        .file())) {
            waitUntil("asked for the list repeatedly", () -> discovery.requests.size() >= 3);

            try (Socket client = connect(port)) {
                client.setSoTimeout(3000);
                write(client, Requests.READINESS);
                assertTrue(ServerHarness.readToEnd(client).startsWith("HTTP/1.1 200"));
            }
            server.signal("TERM");
            server.awaitExit(10);
        }
    }

    /** The Java runtime closes its log handlers when the process begins to end. */
    @Test
    public void logContinuesUntilExit() throws Exception {
        CountDownLatch completeResponse = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
            write(connection, openStream("data: a\n\n"));
            completeResponse.await(10, TimeUnit.SECONDS);
            write(connection, chunk(DONE_EVENT) + LAST_CHUNK);
        })) {
            Path config =
                    ServerConfigJson.fixedList().endpoints(ready(1, backend)).file();
            try (ServerProcess server = ServerProcess.serve(config)) {
                int port = server.awaitPort();
                Socket client = connect(port);
                write(client, chat("id", 3000));
                assertTrue(client.getInputStream().read() > 0);
                server.signal("TERM");
                Files.writeString(config, "{\"name\": ");
                // The listener closes a moment after the signal.
                waitUntil("shutdown has begun", () -> refusesConnections(port));

                server.signal("HUP");

                server.readLogUntil("not reloaded");
                completeResponse.countDown();
                assertEquals(143, server.awaitExit(5));
                client.close();
            } finally {
                completeResponse.countDown();
            }
        }
    }

    private static boolean refusesConnections(int port) {
        try {
            connect(port).close();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    public void ignoredSighupIsReported() throws Exception {
        Path config = ServerConfigJson.fixedList().file();
        try (ServerProcess server = ServerProcess.serveAfter("trap '' HUP", config)) {
            String log = server.readLogUntil("platform_address");

            assertTrue(log, log.contains("SIGHUP is ignored"));
        }
    }

    /** A supervisor may start the next process while the last one still ends. */
    @Test
    public void startWaitsUntilPredecessorReleasesAddress() throws Exception {
        ServerSocket predecessor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Path config = ServerConfigJson.fixedList()
                .listenAddress("127.0.0.1:" + predecessor.getLocalPort())
                .file();
        try (ServerProcess server = ServerProcess.serve(config)) {
            server.readLogUntil("in use");

            predecessor.close();

            connect(server.awaitPort()).close();
        } finally {
            predecessor.close();
        }
    }
}
