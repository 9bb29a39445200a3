package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.update;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.status;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** A backend is known by its whole id, however much of it others share. */
public class EndpointIdentityTest {
    private static final String EAST = "regina-east";
    private static final String NORTH = "saskatoon-north";
    private static final String SOUTH = "swift-current";
    private static final int SESSIONS = 24;

    private final ExecutorService clients = Executors.newFixedThreadPool(SESSIONS);
    private int probes;

    @After
    public void stopClients() {
        clients.shutdownNow();
    }

    private static String listed(String id, FakeHttpServer backend, String zone, String phase) {
        return EndpointLists.endpoint(1, backend.address(), EndpointLists.CHAT_HOST, phase)
                .replace("s-00000001", id)
                .replace("\"locality\":\"a\"", "\"locality\":\"" + zone + '"');
    }

    private static String ready(String id, FakeHttpServer backend, String zone) {
        return listed(id, backend, zone, "ready");
    }

    private static String session(int number) {
        return sessionKey(Integer.toHexString(0x9e3779b9 * (number + 1)));
    }

    private static String keyedRequest(int number) {
        return chat("id-" + number, 8000, session(number)).replace("X-Class: chat", "X-Class: by zone");
    }

    /**
     * Guards against repeats in another zone of requests that may have run, where an endpoint whose id ends in the same
     * eight digits drains: the two were one endpoint, and the zone of the one counted for the other.
     */
    @Test
    public void drainOfAnEndpointWhoseIdEndsAlikeMovesNoKeyedRequestToItsZone() throws Exception {
        CountDownLatch drainPublished = new CountDownLatch(1);
        CountDownLatch drainApplied = new CountDownLatch(1);
        try (FakeHttpServer draining = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer east = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer failing = respondingAfter(drainApplied, status(500));
                FakeHttpServer north = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer joined = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = respondingAfter(
                        drainPublished,
                        openStream(update(
                                2,
                                listed("s-00000001", draining, EAST, "draining"),
                                ready("u-00000009", joined, SOUTH))));
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery)
                        .zones(EAST, NORTH, SOUTH)
                        .endpoints(
                                ready("s-00000001", draining, EAST),
                                ready("s-00000003", east, EAST),
                                ready("t-00000001", failing, NORTH),
                                ready("t-00000002", north, NORTH)))) {
            List<Future<String>> responses = sendKeyedRequests(harness);
            waitUntil("some requests run where they will fail", () -> failing.requests.size() >= 2);
            drainPublished.countDown();
            waitUntil("the change has been applied", () -> isUsed(harness, joined));
            drainApplied.countDown();
            for (Future<String> response : responses) {
                response.get(10, TimeUnit.SECONDS);
            }

            assertEquals("ran in two zones", Set.of(), sharedRequestIds(failing, draining, east, joined));
            assertFalse(
                    "repeated within the zone", sharedRequestIds(failing, north).isEmpty());
        }
    }

    /** Returns a server that writes a response to each request once the latch is open, and then waits for the close. */
    private static FakeHttpServer respondingAfter(CountDownLatch latch, String response) throws IOException {
        return new FakeHttpServer((request, connection) -> {
            latch.await();
            write(connection, response);
            awaitClose(connection);
        });
    }

    private List<Future<String>> sendKeyedRequests(ServerHarness harness) {
        List<Future<String>> responses = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            String request = keyedRequest(i);
            responses.add(clients.submit(() -> harness.exchange(request)));
        }
        return responses;
    }

    /** The ids of the requests that ran at the first backend and at one of the others. */
    private static Set<String> sharedRequestIds(FakeHttpServer first, FakeHttpServer... others) {
        Set<String> elsewhere = new HashSet<>();
        for (FakeHttpServer other : others) {
            elsewhere.addAll(clientRequestIds(other));
        }
        elsewhere.retainAll(clientRequestIds(first));
        return elsewhere;
    }

    /** Sends a request of another session with each call, until one belongs to this backend. */
    private boolean isUsed(ServerHarness harness, FakeHttpServer backend) throws IOException {
        probes++;
        harness.exchange(chat("probe-" + probes, 300, session(SESSIONS + probes)));
        return !backend.requests.isEmpty();
    }

    private static Set<String> clientRequestIds(FakeHttpServer backend) {
        Set<String> ids = new HashSet<>();
        backend.requests.forEach(request -> ids.add(request.requestId()));
        ids.removeIf(id -> !id.startsWith("id-"));
        return ids;
    }

    /** Guards against capacity that is never used: of endpoints whose ids end alike, the last one listed got all. */
    @Test
    public void endpointsWhoseIdsEndAlikeAllServe() throws Exception {
        try (FakeHttpServer first = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer second = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer third = FakeHttpServer.responding(COMPLETE_STREAM);
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.fixedList()
                        .endpoints(
                                ready("regina-east-0000000a", first, "a"),
                                ready("saskatoon-north-0000000a", second, "a"),
                                ready("saskatoon-north-0000000A", third, "a")))) {
            for (int i = 0; i < 2 * SESSIONS; i++) {
                harness.exchange(chat("id-" + i, 3000, session(i)));
            }

            assertFalse(first.requests.isEmpty());
            assertFalse(second.requests.isEmpty());
            assertFalse(third.requests.isEmpty());
        }
    }

    /** Guards against sessions whose backend depends on the node: two nodes disagreed where their lists' order did. */
    @Test
    public void nodesWithListsInOppositeOrderSendASessionToTheSameBackend() throws Exception {
        try (FakeHttpServer first = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer second = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer third = FakeHttpServer.responding(COMPLETE_STREAM)) {
            List<String> endpoints = new ArrayList<>(List.of(
                    ready("s-0000000a", first, "a"),
                    ready("t-0000000a", second, "a"),
                    ready("u-0000000b", third, "a")));
            sendEachSession(endpoints, "id-node-1-");
            Collections.reverse(endpoints);
            sendEachSession(endpoints, "id-node-2-");

            for (FakeHttpServer backend : List.of(first, second, third)) {
                assertEquals(sessionsOf(backend, "id-node-1-"), sessionsOf(backend, "id-node-2-"));
                assertFalse(sessionsOf(backend, "id-node-1-").isEmpty());
            }
        }
    }

    private static void sendEachSession(List<String> endpoints, String idPrefix) throws Exception {
        try (ServerHarness harness =
                ServerHarness.withConfig(ServerConfigJson.fixedList().endpoints(endpoints.toArray(new String[0])))) {
            for (int i = 0; i < 2 * SESSIONS; i++) {
                harness.exchange(chat(idPrefix + i, 3000, session(i)));
            }
        }
    }

    private static Set<String> sessionsOf(FakeHttpServer backend, String idPrefix) {
        Set<String> sessions = new HashSet<>();
        for (String id : clientRequestIds(backend)) {
            if (id.startsWith(idPrefix)) {
                sessions.add(id.substring(idPrefix.length()));
            }
        }
        return sessions;
    }

    /** Guards against removals that take another endpoint along, whose id ends alike. */
    @Test
    public void removalTouchesOnlyTheEndpointOfThatId() throws Exception {
        try (FakeHttpServer staying = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer leaving = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer joined = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(openStream(
                        update(2, listed("t-00000001", leaving, "a", "gone"), ready("u-00000009", joined, "a"))));
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery)
                        .endpoints(ready("s-00000001", staying, "a"), ready("t-00000001", leaving, "a")))) {
            waitUntil("the change has been applied", () -> isUsed(harness, joined));
            int requestsBefore = leaving.requests.size();
            for (int i = 0; i < SESSIONS; i++) {
                harness.exchange(chat("id-" + i, 3000, session(i)));
            }

            assertEquals(requestsBefore, leaving.requests.size());
            assertFalse(clientRequestIds(staying).isEmpty());
        }
    }
}
