package fawnlb.server;

import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.CONTENT_EVENT;
import static fawnlb.server.Responses.DONE_EVENT;
import static fawnlb.server.Responses.LAST_CHUNK;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.translation.Dialect;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * What a backend sends after its first events decides whether its client may be kept waiting, and not that it sends.
 */
public class StreamProgressTest {
    /** The protocol's limit on the time from a backend's last event to the end of the client's connection. */
    private static final Duration CLIENT_WAIT_LIMIT = Duration.ofSeconds(5);
    /** A backend that still sends after this time has not been cut off. */
    private static final Duration BACKEND_DURATION = Duration.ofSeconds(9);

    private static final int DEADLINE_MS = 4000;
    private static final String EVENT_START = "data: {\"choices\":[{\"delta\":{\"content\":\"";
    /** An event that takes over five seconds at a byte each 0.1 s. */
    private static final String LONG_EVENT = EVENT_START + "a long word\"},\"index\":0}],\"id\":\"abcdef\"}\n\n";

    /** Writes to a connection, with a pause behind each part. */
    @FunctionalInterface
    private interface Script {
        void run(Socket connection) throws IOException, InterruptedException;
    }

    private static Script onceThenRepeating(String first, String repeated, int pauseMs) {
        return connection -> {
            // The client has the events before what follows them is read.
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            write(connection, first);
            long endNanos = System.nanoTime() + BACKEND_DURATION.toNanos();
            while (System.nanoTime() < endNanos) {
                TimeUnit.MILLISECONDS.sleep(pauseMs);
                write(connection, repeated);
            }
        };
    }

    private static void writeInParts(Socket connection, String text, int partBytes, int pauseMs)
            throws IOException, InterruptedException {
        for (int start = 0; start < text.length(); start += partBytes) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            write(connection, text.substring(start, Math.min(text.length(), start + partBytes)));
        }
    }

    private static Map<String, Script> unsoundEndings() {
        Map<String, Script> endings = new LinkedHashMap<>();
        endings.put("zeros of a size, quickly", onceThenRepeating("", "0", 300));
        endings.put("zeros of a size, slowly", onceThenRepeating("", "0", 2000));
        endings.put("extension, a byte at a time", onceThenRepeating("20;", "x", 300));
        endings.put("extension, 80 bytes at a time", onceThenRepeating("20;", "x".repeat(80), 500));
        endings.put("huge size without line end", onceThenRepeating("c0000000;", CONTENT_EVENT.trim(), 250));
        endings.put("huge size behind zeros", onceThenRepeating("000000c0000000;", CONTENT_EVENT.trim(), 250));
        endings.put("huge size", onceThenRepeating("c0000000\r\n", CONTENT_EVENT, 250));
        endings.put("trailer", onceThenRepeating("0\r\nx: ", "x", 300));
        endings.put("comments", onceThenRepeating("", chunk(": comment\n\n"), 300));
        endings.put("comments in chunks of a byte", onceThenRepeating(chunk(":"), chunk("x"), 200));
        endings.put("event, a byte at a time", onceThenRepeating(chunk(EVENT_START), chunk("x"), 300));
        endings.put("event, 80 bytes at a time", onceThenRepeating(chunk(EVENT_START), chunk("x".repeat(80)), 500));
        endings.put("no event", onceThenRepeating("", chunk("xxxx\n\n"), 300));
        endings.put("events behind the last one", onceThenRepeating(chunk(DONE_EVENT), chunk(CONTENT_EVENT), 300));
        return endings;
    }

    /**
     * Guards against clients that are kept by bytes of their backend that never become an event (report f8b512): only
     * events, and sound parts of them, are progress.
     */
    @Test
    public void bytesThatBecomeNoEventDoNotKeepClientBeyondFiveSeconds() throws Exception {
        Map<String, Long> lastEventNanos = new ConcurrentHashMap<>();
        Map<String, String> waitedTooLong = new ConcurrentHashMap<>();
        runAll(
                unsoundEndings(),
                (name, connection) -> {
                    write(connection, openStream(CONTENT_EVENT, CONTENT_EVENT));
                    lastEventNanos.put(name, System.nanoTime());
                },
                (name, response) -> {
                    Duration wait = Duration.ofNanos(System.nanoTime() - lastEventNanos.get(name));
                    if (wait.compareTo(CLIENT_WAIT_LIMIT) > 0) {
                        waitedTooLong.put(name, wait.toMillis() + " ms");
                    }
                    assertTrue(name + ": " + response, response.contains(CONTENT_EVENT));
                    assertFalse(name + ": " + response, response.endsWith(LAST_CHUNK));
                });
        assertEquals(Map.of(), waitedTooLong);
    }

    /** Guards against the same where the answer is translated, or a broker reads along. */
    @Test
    public void commentsDoNotKeepClientOfBrokerBeyondFiveSeconds() throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<?>> results = new ArrayList<>();
        for (Object[] pair : BrokerFixture.dialectPairs()) {
            results.add(clients.submit(() -> {
                try (BrokerFixture broker = new BrokerFixture((Dialect) pair[0], (Dialect) pair[1])) {
                    assertClientOfBrokerIsReleased(broker);
                }
                return null;
            }));
        }
        for (Future<?> result : results) {
            result.get();
        }
        clients.shutdown();
    }

    private static void assertClientOfBrokerIsReleased(BrokerFixture broker) throws IOException {
        Script comments = onceThenRepeating("", chunk(": comment\n\n"), 300);
        broker.backendResponds((request, connection) -> {
            write(connection, openStream(broker.firstPart()));
            comments.run(connection);
        });
        Stopwatch stopwatch = new Stopwatch();

        String response = broker.exchange(broker.streamRequest("id"));

        stopwatch.assertBelow(CLIENT_WAIT_LIMIT);
        assertTrue(response, response.startsWith("HTTP/1.1 200"));
        assertFalse(response, response.endsWith(LAST_CHUNK));
    }

    /** Guards against a 200 for requests of which nothing but comments came until their deadline. */
    @Test
    public void commentsBeforeTheFirstEventAreNoAnswer() throws Exception {
        Script comments = onceThenRepeating("", chunk(": comment\n\n"), 100);
        try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream());
                    comments.run(connection);
                });
                ServerHarness harness = ServerHarness.withBackends(backend)) {
            String response = harness.exchange(chat("id", 1000));

            assertTrue(response, response.startsWith("HTTP/1.1 503"));
        }
    }

    private static Map<String, Script> slowEndings() {
        String rest = chunk(LONG_EVENT);
        Map<String, Script> endings = new LinkedHashMap<>();
        endings.put("event, a byte each 0.1 s", connection -> writeInParts(connection, rest, 1, 100));
        endings.put("event, ten bytes each 0.9 s", connection -> writeInParts(connection, rest, 10, 900));
        endings.put("size, a byte each second", connection -> {
            writeInParts(connection, rest.substring(0, rest.indexOf('\n') + 1), 1, 1000);
            TimeUnit.SECONDS.sleep(1);
            write(connection, rest.substring(rest.indexOf('\n') + 1));
        });
        endings.put("chunks of a byte", connection -> {
            for (char character : LONG_EVENT.toCharArray()) {
                TimeUnit.MILLISECONDS.sleep(70);
                write(connection, chunk(String.valueOf(character)));
            }
        });
        endings.put("pauses of 3 and 4 s", connection -> {
            TimeUnit.SECONDS.sleep(3);
            write(connection, rest);
            TimeUnit.SECONDS.sleep(4);
        });
        endings.put("forty events in a chunk", connection -> write(connection, chunk(LONG_EVENT.repeat(40))));
        endings.put("comments between events", connection -> {
            for (int i = 0; i < 4; i++) {
                writeInParts(connection, chunk(": comment\n\n").repeat(2) + rest, rest.length(), 900);
            }
        });
        return endings;
    }

    /** Guards against answers that are cut off while their backend is still writing them (reports 7e3776, f8b512). */
    @Test
    public void slowlyWrittenAnswerStaysComplete() throws Exception {
        Map<String, Script> endings = slowEndings();
        endings.replaceAll((name, ending) -> connection -> {
            ending.run(connection);
            write(connection, chunk(DONE_EVENT) + LAST_CHUNK);
        });
        runAll(
                endings,
                (name, connection) -> write(connection, openStream(CONTENT_EVENT, CONTENT_EVENT)),
                (name, response) -> {
                    assertTrue(name + ": " + response, response.contains(DONE_EVENT.trim()));
                    assertTrue(name + ": " + response, response.endsWith(LAST_CHUNK));
                });
    }

    /** Called at the start of a case's response, or with the whole response that its client got. */
    @FunctionalInterface
    private interface CaseStep<T> {
        void run(String name, T argument) throws IOException;
    }

    /** Runs all cases at the same time, each with a server, a backend and a client of its own. */
    private static void runAll(Map<String, Script> endings, CaseStep<Socket> start, CaseStep<String> check)
            throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            Map<String, Future<String>> responses = new LinkedHashMap<>();
            endings.forEach((name, ending) -> responses.put(name, clients.submit(() -> {
                try (FakeHttpServer backend = new FakeHttpServer((request, connection) -> {
                            start.run(name, connection);
                            ending.run(connection);
                        });
                        ServerHarness harness = ServerHarness.withBackends(backend)) {
                    Socket client = harness.connect();
                    client.setSoTimeout((int) BACKEND_DURATION.multipliedBy(3).toMillis());
                    write(client, chat("id", DEADLINE_MS));
                    String response = ServerHarness.readToResetOrEnd(client);
                    check.run(name, response);
                    return response;
                }
            })));
            for (Future<String> response : responses.values()) {
                response.get();
            }
        } finally {
            clients.shutdownNow();
        }
    }
}
