package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.chatKeepingConnection;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.stream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Clients that disconnect, and more connections than there is room for. */
public class ClientConnectionTest {
    private static final int MAX_SOCKETS = 200;
    private static final int MAX_CONCURRENT_ATTEMPTS = MAX_SOCKETS / 3;
    private static final int DESCRIPTOR_RESERVE = 48;
    private static final int MAX_CLIENT_CONNECTIONS = MAX_SOCKETS - MAX_CONCURRENT_ATTEMPTS - DESCRIPTOR_RESERVE;

    private final List<Socket> clients = new ArrayList<>();

    @After
    public void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /** When a client disconnects. */
    private enum Moment {
        BEFORE_RESPONSE,
        DURING_RESPONSE
    }

    @Test
    public void clientDisconnectCancelsAttempt() throws Exception {
        for (Moment moment : Moment.values()) {
            assertDisconnectCancelsAttempt(moment, "");
        }
    }

    /** Some clients send their next request, or much more than one, and disconnect. */
    @Test
    public void disconnectAfterPipelinedBytesCancelsAttempt() throws Exception {
        String manyRequests = "GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2000);
        for (String pipelined : List.of("GET", chat("ahead", 4000), manyRequests)) {
            for (Moment moment : Moment.values()) {
                assertDisconnectCancelsAttempt(moment, pipelined);
            }
        }
    }

    private static void assertDisconnectCancelsAttempt(Moment moment, String pipelined) throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch attemptCancelled = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    if (moment == Moment.DURING_RESPONSE) {
                        write(connection, openStream(CONTENT_EVENT));
                    }
                    requestReceived.countDown();
                    if (awaitClose(connection)) {
                        attemptCancelled.countDown();
                    }
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            try (Socket client = harness.connect()) {
                write(client, chatKeepingConnection("id", 4000) + pipelined);
                assertTrue(requestReceived.await(5, TimeUnit.SECONDS));
                if (moment == Moment.DURING_RESPONSE) {
                    client.getInputStream().read();
                }
            }

            assertTrue(moment.name(), attemptCancelled.await(2, TimeUnit.SECONDS));
            harness.awaitNoOpenRequests();
            assertEquals(1, backend.requests.size());
        }
    }

    /**
     * A connection that is not accepted gets no response at all: idle ones are closed for it, and then it is rejected.
     */
    @Test
    public void connectionLimitClosesIdleClientsThenRejects() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    respond.await(10, TimeUnit.SECONDS);
                    write(connection, stream(DONE_EVENT));
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                connectBusyClient(harness, i);
            }
            waitUntil("all busy", () -> backend.requests.size() == MAX_CONCURRENT_ATTEMPTS);

            String rejection = harness.exchange(chat("over", 9000));
            assertTrue(rejection, rejection.startsWith("HTTP/1.1 503") && rejection.contains("Retry-After: 1\r\n"));

            respond.countDown();
            harness.awaitNoOpenRequests();
            assertTrue(harness.exchange(chat("after", 9000)).startsWith("HTTP/1.1 200"));
        }
    }

    /** Clients for whom there is no attempt are kept busy by a body whose last byte is missing. */
    private void connectBusyClient(ServerHarness harness, int number) throws IOException {
        Socket client = harness.connect();
        clients.add(client);
        String request = chatKeepingConnection("id-" + number, 9000);
        write(client, number < MAX_CONCURRENT_ATTEMPTS ? request : request.substring(0, request.length() - 1));
    }

    /** Hundreds of connections without a request must not keep out clients that send one. */
    @Test
    public void silentConnectionsAreEvictedForActiveClients() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            for (int i = 0; i < 300; i++) {
                clients.add(harness.connect());
            }
            Stopwatch stopwatch = new Stopwatch();

            assertTrue(harness.exchange(chat("id", 1000)).startsWith("HTTP/1.1 200"));

            stopwatch.assertBelow(Duration.ofSeconds(1));
            for (Socket silent : clients) {
                assertEquals("", ServerHarness.readToResetOrEnd(silent));
            }
            stopwatch.assertBelow(Duration.ofSeconds(3));
        }
    }
}
