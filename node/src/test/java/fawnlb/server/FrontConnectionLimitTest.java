package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.chatKeepingConnection;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.After;
import org.junit.Test;

/**
 * Guards against a front that stops to accept at a fixed share of the connections while other connections could be
 * closed: requests waited for six seconds after their deadline behind silent clients (review/2).
 */
public class FrontConnectionLimitTest {
    private static final int MAX_SOCKETS = 256;
    private static final int HOLDERS = 300;
    private static final int DEADLINE_MS = 2250;
    private static final int REQUESTS = 10;
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);
    private static final String CHAT = chatKeepingConnection("held", DEADLINE_MS);
    private static final int DESCRIPTOR_RESERVE = 48;
    private static final int MAX_CONNECTIONS = MAX_SOCKETS - MAX_SOCKETS / 3 - DESCRIPTOR_RESERVE;

    private final List<Socket> clients = new ArrayList<>();

    /** A front by its address. */
    private enum Front {
        PLATFORM(harness -> harness.server.platformAddress().getPort()),
        MESSAGES(harness -> harness.server.messagesAddress().getPort());

        private final Function<ServerHarness, Integer> port;

        Front(Function<ServerHarness, Integer> port) {
            this.port = port;
        }

        Socket connect(ServerHarness harness) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port.apply(harness));
            socket.setSoTimeout(10_000);
            return socket;
        }

        String request(String id) {
            return this == PLATFORM
                    ? chat(id, DEADLINE_MS)
                    : Requests.post(
                            Requests.CHAT_PATH,
                            "{\"model\":\"m\",\"max_tokens\":9,\"stream\":true,"
                                    + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
                            BrokerFixture.API_KEY + "X-Request-Id: " + id + "\r\n" + Requests.CLOSE_CONNECTION);
        }
    }

    /** What a client sends that holds a connection. */
    private enum Holder {
        SILENT(""),
        FIRST_BYTE("P"),
        HALF_HEAD(CHAT.substring(0, 40)),
        BODY_WITHOUT_END(CHAT.substring(0, CHAT.length() - 1)),
        SERVED_ONCE(Requests.post("/unknown", ""));

        private final String text;

        Holder(String text) {
            this.text = text;
        }
    }

    @After
    public void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private static ServerHarness start(FakeHttpServer backend) throws Exception {
        return ServerHarness.withBroker(
                ServerConfigJson.fixedList()
                        .maxSockets(MAX_SOCKETS)
                        .endpoints(EndpointLists.endpoint(1, backend.address(), EndpointLists.CHAT_HOST, "ready")),
                "{\"listen\":\"127.0.0.1:0\",\"teams\":[{\"name\":\"t\",\"key\":\"k\",\"classes\":[\"chat\"],"
                        + "\"models\":[\"m\"],\"deadline-ms\":" + DEADLINE_MS
                        + ",\"budget\":{\"requests\":1000,\"tokens\":100000,\"window-ms\":60000}}]}");
    }

    private void hold(ServerHarness harness, Front front, Holder holder, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket client = front.connect(harness);
            clients.add(client);
            write(client, holder.text);
        }
    }

    private static String ask(ServerHarness harness, Front front, String id) throws IOException {
        try (Socket client = front.connect(harness)) {
            write(client, front.request(id));
            return ServerHarness.readToResetOrEnd(client);
        }
    }

    private static void assertServedInTime(ServerHarness harness, Front front, String description) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            Stopwatch stopwatch = new Stopwatch();
            String response = ask(harness, front, description + i);
            assertTrue(description + ": " + response, response.startsWith("HTTP/1.1 200"));
            stopwatch.assertBelow(MAX_WAIT);
        }
    }

    /** A body that began later than half a second ago is waited for, and new requests are rejected meanwhile. */
    private static void awaitBodiesMayBeRejected() {
        long endNanos = System.nanoTime() + Duration.ofMillis(600).toNanos();
        Await.waitUntil("bodies may be rejected", () -> System.nanoTime() > endNanos);
    }

    @Test
    public void connectionsWithoutRequestKeepNobodyOutOfTheSameFront() throws Exception {
        for (Front front : Front.values()) {
            for (Holder holder : Holder.values()) {
                try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                        ServerHarness harness = start(backend)) {
                    hold(harness, front, holder, HOLDERS);
                    if (holder == Holder.BODY_WITHOUT_END) {
                        awaitBodiesMayBeRejected();
                    }
                    assertServedInTime(harness, front, front + "-" + holder);
                }
            }
        }
    }

    @Test
    public void connectionsWithoutRequestKeepNobodyOutOfTheOtherFront() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = start(backend)) {
            hold(harness, Front.PLATFORM, Holder.SILENT, HOLDERS);
            hold(harness, Front.MESSAGES, Holder.SILENT, HOLDERS);
            assertServedInTime(harness, Front.PLATFORM, "platform");
            assertServedInTime(harness, Front.MESSAGES, "messages");
        }
    }

    /** Guards against one front that takes all connections with its requests, and against a wait for a refusal. */
    @Test
    public void requestsOfOneFrontLeaveTheOtherItsShare() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    if (request.requestId().equals("held")) {
                        respond.await(10, TimeUnit.SECONDS);
                    }
                    write(connection, stream(DONE_EVENT));
                });
                ServerHarness harness = start(backend)) {
            hold(harness, Front.PLATFORM, Holder.BODY_WITHOUT_END, MAX_CONNECTIONS);
            assertServedInTime(harness, Front.MESSAGES, "messages");

            String rejection = ask(harness, Front.PLATFORM, "over");
            assertTrue(rejection, rejection.startsWith("HTTP/1.1 503") && rejection.contains("Retry-After: "));
            respond.countDown();
        }
    }

    /** The admin listener has few connections, and those that nobody uses must not keep an operator out. */
    @Test
    public void silentConnectionsKeepNobodyOutOfTheAdminListener() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness =
                        ServerHarness.withStreams("{\"admin\":{\"listen\":\"127.0.0.1:0\"}}", backend)) {
            for (int i = 0; i < 2 * DescriptorBudget.MAX_ADMIN_CONNECTIONS; i++) {
                clients.add(new Socket(
                        InetAddress.getLoopbackAddress(),
                        harness.server.adminAddress().getPort()));
            }
            Stopwatch stopwatch = new Stopwatch();

            String metrics = harness.exchangeWithAdmin(Requests.get("/metrics"));

            stopwatch.assertBelow(Duration.ofSeconds(1));
            assertTrue(metrics, metrics.contains("\nfawnlb_client_connections{listener=\"admin\"} "));
            assertTrue(metrics, metrics.contains("\nfawnlb_client_connections_limit{listener=\"platform\"} "));
            assertTrue(metrics, metrics.contains("\nfawnlb_listener_stopped_milliseconds{listener=\"platform\"} 0\n"));
        }
    }

    /** Guards against a start of the request's time at the accept of a connection that was idle until it came. */
    @Test
    public void timeOfFirstRequestBeginsWithItsFirstByte() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = start(backend);
                Socket client = Front.PLATFORM.connect(harness)) {
            TimeUnit.MILLISECONDS.sleep(1500);
            write(client, chat("id", DEADLINE_MS));
            String response = ServerHarness.readToResetOrEnd(client);
            assertTrue(response, response.startsWith("HTTP/1.1 200"));
            long deadlineMs = Long.parseLong(backend.requests.get(0).headers().get("x-deadline-ms"));
            assertTrue("told " + deadlineMs + " ms", deadlineMs > DEADLINE_MS - 500);
            assertEquals(1, backend.requests.size());
        }
    }
}
