package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.EndpointLists.update;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.chunk;
import static fawnlb.server.Responses.openStream;
import static org.junit.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** A watch whose bytes bring no change is replaced in time, and one that is written slowly is not. */
public class WatchProgressTest {
    /** How soon a change that discovery has must be used. */
    private static final Duration NOTIFICATION_LIMIT = Duration.ofSeconds(6);

    private static final String PARTIAL_LINE = "{\"revision\":3,\"complete\":false,\"members\":[";

    /** What a watch sends in place of a change: first this, and then this in every interval. */
    private record Ending(String first, String repeated, int intervalMs) {}

    private static final List<Ending> UNSOUND_ENDINGS = List.of(
            new Ending(PARTIAL_LINE, " ", 400),
            new Ending(PARTIAL_LINE + "{\"id\":\"", "s", 400),
            new Ending(PARTIAL_LINE + "{}", ",{}", 400),
            new Ending(" ", " ", 400),
            new Ending("\r", "\r", 100));

    /** Guards against changes that are used too late because the watch sends bytes that become none (report f8b512). */
    @Test
    public void changeIsUsedInTimeAlthoughTheWatchSendsBytesThatBecomeNone() throws Exception {
        ExecutorService cases = Executors.newCachedThreadPool();
        List<Future<?>> results = new ArrayList<>();
        for (Ending ending : UNSOUND_ENDINGS) {
            results.add(cases.submit(() -> {
                assertChangeIsUsedInTime(ending);
                return null;
            }));
        }
        for (Future<?> result : results) {
            result.get();
        }
        cases.shutdown();
    }

    private static void assertChangeIsUsedInTime(Ending ending) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeHttpServer before = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer after = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    if (calls.incrementAndGet() > 1) {
                        write(connection, openStream(completeList(3, ready(2, after))));
                        FakeHttpServer.awaitClose(connection);
                        return;
                    }
                    write(connection, openStream(update(2, ready(1, before))));
                    waitUntil("first list used", () -> !before.requests.isEmpty());
                    write(connection, chunk(ending.first()));
                    while (true) {
                        TimeUnit.MILLISECONDS.sleep(ending.intervalMs());
                        write(connection, chunk(ending.repeated()));
                    }
                });
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            awaitRequestAt(harness, before);
            Stopwatch sinceChange = new Stopwatch();
            awaitRequestAt(harness, after);
            sinceChange.assertBelow(NOTIFICATION_LIMIT);
        }
    }

    private static void awaitRequestAt(ServerHarness harness, FakeHttpServer backend) {
        AtomicInteger id = new AtomicInteger();
        waitUntil("a request at the listed backend", () -> {
            harness.exchange(chat("id-" + id.incrementAndGet(), 1000));
            return !backend.requests.isEmpty();
        });
    }

    /** Guards against lists that are never received because they take a few seconds to be written. */
    @Test
    public void listThatIsWrittenSlowlyIsReceived() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream());
                    String[] members = new String[9];
                    Arrays.fill(members, ready(1, backend));
                    for (String part : completeList(2, members).split("(?<=\\},)")) {
                        write(connection, chunk(part));
                        TimeUnit.MILLISECONDS.sleep(500);
                    }
                    FakeHttpServer.awaitClose(connection);
                });
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            awaitRequestAt(harness, backend);
            assertEquals(1, discovery.requests.size());
        }
    }
}
