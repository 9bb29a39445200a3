package fawnlb.server;

import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.Test;

/** Every request has a new id. One that comes again may run again only where that is harmless. */
public class RepeatedRequestIdTest {
    private static final String IDEMPOTENT = "chat";
    private static final String NOT_IDEMPOTENT = "strict";

    private static String request(String requestClass) {
        return Requests.post(
                Requests.CHAT_PATH,
                "{}",
                "X-Request-Id: repeated\r\nX-Class: " + requestClass + "\r\n" + Requests.CLOSE_CONNECTION);
    }

    private static void assertStatus(int status, ServerHarness harness, String requestClass) throws Exception {
        String response = harness.exchange(request(requestClass));
        assertTrue(response, response.startsWith("HTTP/1.1 " + status));
    }

    /** Guards against an id that ran twice when it came again after its client had left. */
    @Test
    public void idOfClientThatLeftIsNotRunAgain() throws Exception {
        for (String requestClass : List.of(IDEMPOTENT, NOT_IDEMPOTENT)) {
            CountDownLatch received = new CountDownLatch(1);
            try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                        received.countDown();
                        awaitClose(connection);
                    });
                    ServerHarness harness = ServerHarness.withBackends(backend)) {
                try (Socket client = harness.connect()) {
                    write(client, request(requestClass));
                    assertTrue(received.await(5, TimeUnit.SECONDS));
                }
                harness.awaitNoOpenRequests();

                assertStatus(409, harness, requestClass);
                assertEquals(1, backend.requests.size());
            }
        }
    }

    @Test
    public void idOfServedRequestRunsAgainOnlyWhereThatIsHarmless() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(Responses.COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            assertStatus(200, harness, IDEMPOTENT);
            harness.awaitNoOpenRequests();
            assertStatus(200, harness, IDEMPOTENT);
        }
        try (FakeHttpServer backend = FakeHttpServer.responding(Responses.COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            assertStatus(200, harness, NOT_IDEMPOTENT);
            harness.awaitNoOpenRequests();
            assertStatus(409, harness, NOT_IDEMPOTENT);
            assertEquals(1, backend.requests.size());
        }
    }

    @Test
    public void idOfRequestThatHasNotRunCanBeUsedAgain() throws Exception {
        AtomicBoolean serves = new AtomicBoolean();
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> write(
                        connection,
                        serves.get() ? Responses.COMPLETE_STREAM : Responses.status(503, Responses.NOT_RUN)));
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            assertStatus(503, harness, NOT_IDEMPOTENT);
            harness.awaitNoOpenRequests();

            serves.set(true);
            assertStatus(200, harness, NOT_IDEMPOTENT);
        }
    }
}
