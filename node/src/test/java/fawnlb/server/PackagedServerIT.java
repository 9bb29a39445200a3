package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.CLOSE_CONNECTION;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.chatKeepingConnection;
import static fawnlb.server.Requests.post;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static fawnlb.server.ServerProcess.connect;
import static fawnlb.server.ServerProcess.outputOf;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** The packaged program with its commands and signals, started with the command line of the deploy file. */
public class PackagedServerIT {
    private static final int SUCCESS = 0;
    private static final int USAGE_ERROR = 2;

    @Test
    public void commandsPrintTheirResult() throws Exception {
        assertTrue(outputOf(SUCCESS, "version").startsWith("fawnlb 0."));
        assertTrue(outputOf(SUCCESS, "rehearse").contains("served one request"));
        assertTrue(outputOf(SUCCESS, "check", "--config", "examples/node.json", "--broker", "examples/messages.json")
                .contains("1 team(s)"));
        assertTrue(outputOf(SUCCESS, "check", "--config", "examples/node.json", "--start", "deploy/start.json")
                .contains("/var/lib/fawnlb/targets.snapshot"));
    }

    @Test
    public void invalidArgumentsOfSnapshotPrintOneLine() throws Exception {
        List<String[]> invalidArguments = List.of(
                new String[] {"show", "pom.xml"},
                new String[] {"show", "nowhere"},
                new String[] {"print", "pom.xml"},
                new String[] {});
        for (String[] arguments : invalidArguments) {
            assertOneLineError("snapshot", arguments);
        }
    }

    @Test
    public void invalidArgumentsOfServePrintOneLine() throws Exception {
        List<String[]> invalidArguments = List.of(
                new String[] {"--config", "examples/node.json", "--start", "examples/node.json"},
                new String[] {"--config", "nowhere.json"},
                new String[] {"--config", "pom.xml"},
                new String[] {"--config", "examples/node.json", "--broker", "examples/node.json"},
                new String[] {"--odd"});
        for (String[] arguments : invalidArguments) {
            assertOneLineError("serve", arguments);
        }
    }

    private static void assertOneLineError(String command, String... arguments) throws Exception {
        String output = outputOf(USAGE_ERROR, command, arguments);
        assertTrue(output, output.startsWith("fawnlb: ") && output.lines().count() == 1);
    }

    @Test
    public void brokerListenerTranslatesMessagesRequestToChatBackend() throws Exception {
        String event = "data: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n";
        String request = post(
                "/v1/messages",
                "{\"model\":\"advisor\",\"max_tokens\":5,\"stream\":true,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
                "x-api-key: example-key\r\n",
                CLOSE_CONNECTION);
        Path broker = ServerConfigJson.temporaryFile(Files.readString(Path.of("../examples/messages.json"))
                .replace(":9100", ":0")
                .replace("advisor-chat", "chat"));
        try (FakeHttpServer backend = FakeHttpServer.responding(stream(event + DONE_EVENT))) {
            Path config =
                    ServerConfigJson.fixedList().endpoints(ready(1, backend)).file();
            try (ServerProcess server =
                    ServerProcess.start("serve", "--config", config.toString(), "--broker", broker.toString())) {
                String response = ServerProcess.exchange(server.awaitPort("messages_address"), request);

                assertTrue(response, response.contains("\"text\":\"Hi\"") && response.contains("event: message_stop"));
            }
        }
    }

    /** Returns a discovery server that lists one backend and keeps its watch open. */
    private static FakeHttpServer discoveryListing(int revision, FakeHttpServer backend) throws IOException {
        return FakeHttpServer.holdingOpenAfter(openStream(completeList(revision, ready(revision, backend))));
    }

    private static boolean isServedBy(FakeHttpServer backend, int port) throws IOException {
        int requestsBefore = backend.requests.size();
        return ServerProcess.exchange(port, chat("id", 500)).startsWith("HTTP/1.1 200")
                && backend.requests.size() > requestsBefore;
    }

    @Test
    public void sighupReloadsDiscoveryAndRejectsInvalidConfig() throws Exception {
        String response = stream("data: a\n\n");
        try (FakeHttpServer before = FakeHttpServer.responding(response);
                FakeHttpServer after = FakeHttpServer.responding(response);
                FakeHttpServer first = discoveryListing(2, before);
                FakeHttpServer second = discoveryListing(1, after)) {
            Path config = ServerConfigJson.watching(first).file();
            try (ServerProcess server = ServerProcess.serve(config)) {
                int port = server.awaitPort();
                waitUntil("served from the first list", () -> isServedBy(before, port));

                Files.writeString(config, "{\"name\": ");
                server.signal("HUP");
                server.readLogUntil("not reloaded");
                assertTrue(isServedBy(before, port));

                Files.writeString(config, ServerConfigJson.watching(second).json());
                server.signal("HUP");
                waitUntil("served from the second list", () -> isServedBy(after, port));
                assertTrue(second.requestLine(0).contains("watch=1"));
                assertTrue(server.isAlive());
            }
        }
    }

    /**
     * Connections that arrive shortly after the signal are served too, and a reload in the midst of it changes nothing.
     */
    @Test
    public void sigtermCompletesInFlightRequests() throws Exception {
        CountDownLatch responseBegun = new CountDownLatch(1);
        CountDownLatch completeResponse = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
            write(connection, openStream("data: a\n\n"));
            responseBegun.countDown();
            completeResponse.await(10, TimeUnit.SECONDS);
            write(connection, chunk(DONE_EVENT) + LAST_CHUNK);
        })) {
            Path config =
                    ServerConfigJson.fixedList().endpoints(ready(1, backend)).file();
            try (ServerProcess server = ServerProcess.serve(config);
                    Socket client = connect(server.awaitPort())) {
                write(client, chatKeepingConnection("id", 3000));
                assertTrue(responseBegun.await(5, TimeUnit.SECONDS));

                server.signal("TERM");
                server.signal("HUP");

                try (Socket late = connect(client.getPort())) {
                    write(late, chat("late", 3000));
                    completeResponse.countDown();
                    assertCompleted(client);
                    assertCompleted(late);
                }
                server.awaitExit(5);
            }
        }
    }

    private static void assertCompleted(Socket client) throws IOException {
        String response = ServerHarness.readToEnd(client);
        assertTrue(response, response.contains(DONE_EVENT.trim()) && response.endsWith(LAST_CHUNK));
    }
}
