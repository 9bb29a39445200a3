package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Guards against streams that are cut while their backend sends events that the load balancer does not know (review/8).
 * An event that is complete by the grammar of server-sent events is progress, whatever its name and data are.
 */
public class UnknownEventsTest {
    /** Together longer than a client may wait without an event. */
    private static final int UNKNOWN_EVENTS = 12;

    private static final int PAUSE_MS = 500;
    private static final int PAUSE_BEFORE_FIRST_EVENT_MS = 300;
    private static final int UNKNOWN_FIRST_EVENTS = 5;
    private static final int LONG_PAUSE_MS = 4000;
    private static final int DEADLINE_MS = 4000;

    /** Writes events that no dialect knows. */
    @FunctionalInterface
    private interface UnknownEvents {
        void write(Socket connection) throws IOException, InterruptedException;
    }

    private static UnknownEvents each(String event) {
        return connection -> repeat(connection, event, UNKNOWN_EVENTS, PAUSE_MS);
    }

    private static void repeat(Socket connection, String event, int times, int pauseMs)
            throws IOException, InterruptedException {
        for (int i = 0; i < times; i++) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            write(connection, chunk(event));
        }
    }

    private static Map<String, UnknownEvents> unknownEvents() {
        Map<String, UnknownEvents> events = new LinkedHashMap<>();
        events.put("object", each("event: box.progress\ndata: {\"step\":1}\n\n"));
        events.put("text", each("event: box.progress\ndata: step 1 of 12\n\n"));
        events.put("lines", each("event: box.progress\r\nid: 7\r\ndata: \u00e9tape\r\ndata: 1\r\n\r\n"));
        events.put("array", each("event: box.progress\ndata: [1,2]\n\n"));
        events.put("broken", each("event: box.progress\ndata: {\"step\":\n\n"));
        events.put("unnamed", each("data: step 1 of 12\n\n"));
        events.put("number", each("data: 7\n\n"));
        events.put("empty", each("data\n\n"));
        events.put("pauses", connection -> repeat(connection, "event: x\ndata: y\n\n", 2, LONG_PAUSE_MS));
        events.put("slow", connection -> {
            for (char character : "event: box.progress\ndata: a step that is written slowly\n\n".toCharArray()) {
                TimeUnit.MILLISECONDS.sleep(100);
                write(connection, chunk(String.valueOf(character)));
            }
        });
        return events;
    }

    private static UnknownEvents eventsOf(FakeHttpServer.Request request) {
        return unknownEvents().get(request.requestId());
    }

    /** Sends a request for each kind of event at the same time, and returns the responses. */
    private static Map<String, String> exchangeAll(ExecutorService clients, Exchange exchange) throws Exception {
        Map<String, Future<String>> responses = new LinkedHashMap<>();
        for (String kind : unknownEvents().keySet()) {
            responses.put(kind, clients.submit(() -> exchange.run(kind)));
        }
        Map<String, String> texts = new LinkedHashMap<>();
        for (Map.Entry<String, Future<String>> response : responses.entrySet()) {
            texts.put(response.getKey(), response.getValue().get());
        }
        return texts;
    }

    @FunctionalInterface
    private interface Exchange {
        String run(String kind) throws IOException;
    }

    private static void runAll(List<Callable<Void>> cases) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (Future<Void> result : threads.invokeAll(cases)) {
                result.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    public void unknownEventsKeepTheStreamOnBothFronts() throws Exception {
        List<Callable<Void>> cases = new ArrayList<>();
        cases.add(UnknownEventsTest::assertKeptByPlatformFront);
        for (Object[] pair : BrokerFixture.dialectPairs()) {
            cases.add(() -> assertKeptByMessagesFront((Dialect) pair[0], (Dialect) pair[1]));
        }
        runAll(cases);
    }

    private static Void assertKeptByPlatformFront() throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream(CONTENT_EVENT, CONTENT_EVENT));
                    eventsOf(request).write(connection);
                    write(connection, chunk(CONTENT_EVENT + DONE_EVENT) + LAST_CHUNK);
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            Map<String, String> responses =
                    exchangeAll(clients, kind -> harness.exchange(Requests.chat(kind, DEADLINE_MS)));
            responses.forEach((kind, response) ->
                    assertTrue("platform, " + kind + ": " + response, response.endsWith(LAST_CHUNK)));
            assertTrue(responses.get("text").contains("data: step 1 of 12\n\n"));
            assertEquals(responses.size(), backend.requests.size());
        } finally {
            clients.shutdownNow();
        }
        return null;
    }

    private static Void assertKeptByMessagesFront(Dialect client, Dialect backend) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try (BrokerFixture broker = new BrokerFixture(client, backend)) {
            broker.backendResponds((request, connection) -> {
                write(connection, openStream(broker.firstPart()));
                eventsOf(request).write(connection);
                write(connection, chunk(broker.secondPart()) + LAST_CHUNK);
            });
            Map<String, String> responses = exchangeAll(clients, kind -> broker.exchange(broker.streamRequest(kind)));
            String lastEvent = new DialectEvents(client).finalEvent();
            responses.forEach((kind, response) -> assertTrue(
                    client + " from " + backend + ", " + kind + ": " + response, response.contains(lastEvent)));
            responses.forEach((kind, response) -> assertEquals(
                    kind,
                    client == backend && kind.equals("text"),
                    response.contains("step 1 of 12") && response.contains("box.progress")));
        } finally {
            clients.shutdownNow();
        }
        return null;
    }

    /** The client of a translated stream gets nothing of such events, and its request stays with the backend. */
    @Test
    public void unknownEventsBeforeTheFirstKnownOneStartNoOtherAttempt() throws Exception {
        List<Callable<Void>> cases = new ArrayList<>();
        for (Object[] pair : BrokerFixture.dialectPairs()) {
            cases.add(() -> assertOneAttempt((Dialect) pair[0], (Dialect) pair[1]));
        }
        runAll(cases);
    }

    private static Void assertOneAttempt(Dialect client, Dialect backend) throws Exception {
        try (BrokerFixture broker = new BrokerFixture(client, backend)) {
            broker.backendResponds((request, connection) -> {
                write(connection, openStream());
                repeat(
                        connection,
                        "event: box.progress\ndata: step\n\n",
                        UNKNOWN_FIRST_EVENTS,
                        PAUSE_BEFORE_FIRST_EVENT_MS);
                write(connection, chunk(broker.firstPart() + broker.secondPart()) + LAST_CHUNK);
            });
            String response = broker.exchange(broker.streamRequest("id").replace("X-Class: strict", "X-Class: chat"));
            assertTrue(response, response.contains(new DialectEvents(client).finalEvent()));
            assertEquals(client + " from " + backend, 1, broker.backend.requests.size());
        }
        return null;
    }
}
