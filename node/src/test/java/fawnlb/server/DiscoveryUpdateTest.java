package fawnlb.server;

import static fawnlb.server.Await.waitUntil;
import static fawnlb.server.EndpointLists.completeList;
import static fawnlb.server.EndpointLists.inPhase;
import static fawnlb.server.EndpointLists.ready;
import static fawnlb.server.EndpointLists.update;
import static fawnlb.server.FakeHttpServer.awaitClose;
import static fawnlb.server.FakeHttpServer.write;
import static fawnlb.server.Requests.chat;
import static fawnlb.server.Requests.sessionKey;
import static fawnlb.server.Responses.COMPLETE_STREAM;
import static fawnlb.server.Responses.openStream;
import static fawnlb.server.Responses.status;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** How the server follows discovery while it runs. */
public class DiscoveryUpdateTest {
    @Test
    public void drainingBackendGetsNoNewRequests() throws Exception {
        try (FakeHttpServer draining = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer ready = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(
                        openStream(update(2, inPhase("draining", 1, draining), ready(2, ready))));
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, draining)))) {
            waitUntil("update received", () -> {
                harness.exchange(chat("id", 3000));
                return !ready.requests.isEmpty();
            });
            int requestsBefore = draining.requests.size();

            for (int i = 0; i < 10; i++) {
                harness.exchange(chat("id-" + i, 3000, sessionKey(i)));
            }

            assertEquals(requestsBefore, draining.requests.size());
            assertTrue(discovery.requestLine(0).contains("watch=1&from=1"));
        }
    }

    /** Guards against work for an endpoint that has gone, sent to the process that came up at its address. */
    @Test
    public void endpointWhoseAddressAnotherHasTakenOverGetsNoRequests() throws Exception {
        try (FakeHttpServer backend = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(openStream(update(
                        2, inPhase("draining", 2, backend).replace("\"up_since_ms\":0", "\"up_since_ms\":1000"))));
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, backend)))) {
            waitUntil(
                    "update received",
                    () -> !discovery.requests.isEmpty()
                            && harness.exchange(chat("id", 200)).startsWith("HTTP/1.1 503"));
            int requestsBefore = backend.requests.size();

            for (int i = 0; i < 10; i++) {
                String response = harness.exchange(chat("id-" + i, 200));
                assertTrue(response, response.startsWith("HTTP/1.1 503"));
            }
            assertEquals(requestsBefore, backend.requests.size());
        }
    }

    /** Guards against fleets that serve nobody because one entry of their list can't be read. */
    @Test
    public void entryThatCannotBeReadLeavesTheOthersServing() throws Exception {
        try (FakeHttpServer known = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer listed = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer unreadable = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer discovery = FakeHttpServer.holdingOpenAfter(openStream(completeList(
                        2, withoutSize(ready(1, known)), ready(2, listed), withoutSize(ready(3, unreadable)))));
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.watching(discovery).endpoints(ready(1, known)))) {
            AtomicInteger session = new AtomicInteger();
            waitUntil("the readable entry serves", () -> {
                harness.exchange(chat("id-" + session, 3000, sessionKey(session.incrementAndGet())));
                return !listed.requests.isEmpty();
            });
            int requestsBefore = known.requests.size();
            waitUntil("the known one serves on", () -> {
                harness.exchange(chat("id-" + session, 3000, sessionKey(session.incrementAndGet())));
                return known.requests.size() > requestsBefore;
            });
            assertEquals(List.of(), unreadable.requests);
        }
    }

    private static String withoutSize(String endpoint) {
        return endpoint.replace("\"size\":1", "\"size\":\"x\"");
    }

    /** A pushed list is only the first one: the server watches the agent for those that follow. */
    @Test
    public void pushedEndpointListIsFollowed() throws Exception {
        try (FakeHttpServer before = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer after = FakeHttpServer.responding(COMPLETE_STREAM);
                FakeHttpServer agent = FakeHttpServer.holdingOpenAfter(openStream(completeList(2, ready(2, after))));
                ServerHarness harness = ServerHarness.withConfig(
                        ServerConfigJson.pushedList(agent).endpoints(ready(1, before)))) {
            waitUntil("moved to the listed backend", () -> {
                String response = harness.exchange(chat("id", 3000));
                assertEquals(response, response.startsWith("HTTP/1.1 503"), response.contains("Retry-After: 1\r\n"));
                return response.startsWith("HTTP/1.1 200") && !after.requests.isEmpty();
            });

            assertTrue(agent.requestLine(0), agent.requestLine(0).contains("watch=1"));
        }
    }

    /** One line for each failed call would be hundreds a second, and hide all others. */
    @Test
    public void repeatedDiscoveryFailureIsLoggedOnce() throws Exception {
        try (CapturedLog log = new CapturedLog("fawnlb.discovery");
                FakeHttpServer discovery = FakeHttpServer.responding(status(503));
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            waitUntil("many calls", () -> discovery.requests.size() >= 12);

            assertEquals(0, harness.server.openRequests());
            long lines = log.lines().stream()
                    .filter(line -> line.contains("status 503"))
                    .count();
            assertEquals(log.lines().toString(), 1, lines);
        }
    }

    /** A watch from a revision that a restarted discovery has not reached yet would be rejected for ever. */
    @Test
    public void revisionResetTriggersFullEndpointList() throws Exception {
        try (FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    String line = request.requestLine();
                    boolean beforeRestart = line.contains("from=0") || line.contains("from=1");
                    write(connection, openStream(beforeRestart ? completeList(40) : update(3)));
                    connection.close();
                });
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            waitUntil("three watches", () -> discovery.requests.size() >= 3);

            assertEquals(0, harness.server.openRequests());
            assertTrue(discovery.requestLine(1), discovery.requestLine(1).contains("from=40"));
            assertTrue(discovery.requestLine(2), discovery.requestLine(2).contains("from=0"));
        }
    }

    /** A watch that says nothing may be one whose discovery server has gone. */
    @Test
    public void silentOrClosedWatchIsReopenedFromLastRevision() throws Exception {
        AtomicBoolean firstWatchClosed = new AtomicBoolean();
        try (FakeHttpServer discovery = new FakeHttpServer((request, connection) -> {
                    write(connection, openStream(completeList(7)));
                    if (firstWatchClosed.getAndSet(true)) {
                        awaitClose(connection);
                    } else {
                        connection.close();
                    }
                });
                ServerHarness harness = ServerHarness.withConfig(ServerConfigJson.watching(discovery))) {
            waitUntil("reopened after its end", () -> discovery.requests.size() >= 2);
            Stopwatch stopwatch = new Stopwatch();
            waitUntil("reopened after silence", () -> discovery.requests.size() >= 3);

            stopwatch.assertBelow(Duration.ofMillis(5500));
            assertEquals(0, harness.server.openRequests());
            assertTrue(discovery.requestLine(2), discovery.requestLine(2).contains("from=7"));
        }
    }
}
