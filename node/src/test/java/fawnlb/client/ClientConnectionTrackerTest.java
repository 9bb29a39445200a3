package fawnlb.client;

import static fawnlb.client.TrackerHarness.IDLE_TIMEOUT_NANOS;
import static fawnlb.client.TrackerHarness.REQUEST;
import static fawnlb.client.TrackerHarness.REQUEST_HEAD_TIMEOUT_NANOS;
import static fawnlb.client.TrackerHarness.assertExchanged;
import static fawnlb.client.TrackerHarness.assertServed;
import static fawnlb.client.TrackerHarness.send;
import static fawnlb.client.TrackerHarness.sendRequest;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.IoThread;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.reflect.Field;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.xnio.ChannelListeners;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A request that arrives while the I/O thread is busy lies unread on a connection that counts as idle. On the recorded
 * day r9e4702, two to eight of them were lost at a graceful shutdown, in four plays of five.
 */
public class ClientConnectionTrackerTest {
    @Rule
    public final TrackerHarness server = new TrackerHarness();

    /** Serves a first request, and runs a task on the I/O thread while the second request of the client is unread. */
    private void assertServedAfterTaskBeforeRead(Socket client, StreamConnection connection, Runnable task)
            throws Exception {
        server.ioThread().run(() -> server.track(connection));
        assertExchanged(client);
        server.sendUnread(client, REQUEST, task);
        assertServed(client);
    }

    /**
     * Serves a first request, and runs a task on the I/O thread when half of the second request's head was received.
     */
    private void assertServedAfterTaskDuringHead(Runnable task) throws Exception {
        int half = REQUEST.length() / 2;
        try (Socket client = server.connect()) {
            server.trackNext();
            assertExchanged(client);
            server.sendUnread(client, REQUEST.substring(0, half), task);
            send(client, REQUEST.substring(half));
            assertServed(client);
        }
    }

    @Test
    public void idleConnectionWithUnreadRequestIsServedBeforeClose() throws Exception {
        ClientConnectionTracker tracker = server.tracker();
        try (Socket client = server.connect()) {
            assertServedAfterTaskBeforeRead(client, server.nextAccepted(), tracker::closeIdleConnections);
            server.ioThread().run(() -> assertEquals(0, tracker.closeIdleConnections()));
            assertEquals("closed when it is idle", -1, client.getInputStream().read());
        }
    }

    @Test
    public void newConnectionDoesNotEvictConnectionWithUnreadRequest() throws Exception {
        try (Socket client = server.connect()) {
            StreamConnection first = server.nextAccepted();
            try (Socket late = server.connect()) {
                StreamConnection second = server.nextAccepted();
                assertServedAfterTaskBeforeRead(client, first, () -> server.track(second));
                assertExchanged(late);
            }
        }
    }

    @Test
    public void expiredIdleConnectionIsReadBeforeClose() throws Exception {
        try (Socket client = server.connect()) {
            assertServedAfterTaskBeforeRead(
                    client, server.nextAccepted(), () -> server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS));
            server.ioThread().run(() -> server.advanceAndCheckTimeouts(0));
            assertExchanged(client);
            server.ioThread().run(() -> server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS));
            assertEquals("closed at its timeout", -1, client.getInputStream().read());
        }
    }

    /**
     * On the day join+brink, clients sent 600 requests at once, and all other streams stood still for over a second.
     */
    @Test
    public void pipelinedRequestsDoNotDelayOtherConnections() throws Exception {
        int pipelined = 30;
        server.limitConnections(9);
        CountDownLatch firstStarted = new CountDownLatch(1);
        CountDownLatch otherSent = new CountDownLatch(1);
        List<String> servedPaths = new CopyOnWriteArrayList<>();
        server.handleRequests(exchange -> {
            if (servedPaths.isEmpty()) {
                firstStarted.countDown();
                otherSent.await();
            }
            servedPaths.add(exchange.getRequestPath());
            exchange.getResponseSender().send("served\n");
        });
        try (Socket pipelining = server.connect();
                Socket other = server.connect()) {
            server.trackNext();
            server.trackNext();
            send(pipelining, "GET /ahead HTTP/1.1\r\nHost: x\r\n\r\n".repeat(pipelined));
            assertTrue(firstStarted.await(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            sendRequest(other);
            otherSent.countDown();
            assertServed(other);
            for (int i = 0; i < pipelined; i++) {
                assertServed(pipelining);
            }
            int servedBefore = servedPaths.indexOf("/");
            assertTrue("served after " + servedBefore + " of " + pipelined, servedBefore <= 2);
        }
    }

    @Test
    public void gracefulShutdownWaitsForPartialRequestHead() throws Exception {
        assertServedAfterTaskDuringHead(
                () -> assertEquals("one reads a head", 1, server.tracker().closeIdleConnections()));
    }

    @Test
    public void idleTimeoutIgnoresConnectionWithPartialRequestHead() throws Exception {
        assertServedAfterTaskDuringHead(() -> {
            server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS);
            server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS);
        });
    }

    /** Undertow's timeouts for idle connections, reads and writes depend on the wall clock. */
    @Test
    public void acceptedConnectionHasNoUndertowTimeoutConduits() throws Exception {
        try (Socket client = server.connect()) {
            StreamConnection connection = server.trackNext();
            assertExchanged(client);
            List<Object> conduits =
                    new ArrayList<>(conduitChain(connection.getSourceChannel().getConduit()));
            conduits.addAll(conduitChain(connection.getSinkChannel().getConduit()));
            assertEquals(
                    List.of(),
                    conduits.stream()
                            .map(Object::getClass)
                            .map(Class::getName)
                            .filter(name -> name.contains("Timeout") || name.contains("RateLimit"))
                            .toList());
            assertTrue(conduits.size() >= 3);
        }
    }

    private static List<Object> conduitChain(Object first) throws ReflectiveOperationException {
        List<Object> chain = new ArrayList<>(List.of(first));
        for (Class<?> type = first.getClass(); type != null; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                if (field.getName().equals("next")) {
                    field.setAccessible(true);
                    chain.addAll(conduitChain(field.get(first)));
                    return chain;
                }
            }
        }
        return chain;
    }

    @Test
    public void partialRequestHeadIsClosedAtHeadTimeout() throws Exception {
        try (Socket client = server.connect()) {
            StreamConnection connection = server.trackNext();
            // The check itself reads the first bytes of the head, since the connection has been idle for long enough.
            server.sendUnread(client, "GET / HT", () -> {
                server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS);
                assertTrue(connection.isOpen());
            });
            server.ioThread().run(() -> {
                server.advanceAndCheckTimeouts(REQUEST_HEAD_TIMEOUT_NANOS);
                assertFalse(connection.isOpen());
            });
        }
    }

    /** The client sends a request and a part of its next one at once, so that no read begins with the second head. */
    @Test
    public void partialPipelinedHeadIsClosedAtHeadTimeout() throws Exception {
        try (Socket client = server.connect()) {
            StreamConnection connection = server.trackNext();
            send(client, REQUEST + "GET / HT");
            assertServed(client);
            // The rest is read at a poll after the response was written; while it is given tasks, the thread may not
            // poll.
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(IoThread.TIMEOUT_SECONDS);
            while (connection.isOpen() && System.nanoTime() < deadline) {
                server.ioThread()
                        .run(() -> server.advanceAndCheckTimeouts(REQUEST_HEAD_TIMEOUT_NANOS + IDLE_TIMEOUT_NANOS));
            }
            assertFalse(connection.isOpen());
        }
    }

    @Test
    public void idleConnectionIsEvictedBeforePartialRequestHead() throws Exception {
        server.limitConnections(2);
        try (Socket idle = server.connect();
                Socket late = server.connect()) {
            StreamConnection first = server.nextAccepted();
            StreamConnection second = server.nextAccepted();
            assertServedAfterTaskDuringHead(() -> {
                server.track(first);
                server.track(second);
            });
            assertEquals("idle, and closed", -1, idle.getInputStream().read());
            assertExchanged(late);
        }
    }

    /**
     * Undertow would close while the rest of the body is unread, which resets the connection and loses the response.
     */
    @Test
    public void connectionLingersForRestOfRejectedRequest() throws Exception {
        server.handleRequests(exchange -> new FixedResponse(413, "text/plain", "too large\n").send(exchange));
        try (Socket client = server.connect()) {
            StreamConnection connection = server.trackNext();
            send(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\nbegun");
            BufferedReader response =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
            assertTrue(response.lines().anyMatch("too large"::equals));
            for (int part = 0; part < 2; part++) {
                server.sendUnread(client, "more", () -> invokeReadListener(connection));
                server.ioThread().run(() -> assertTrue("open until the client closes", connection.isOpen()));
            }
        }
    }

    private static void invokeReadListener(StreamConnection connection) {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
    }

    @Test
    public void nonPersistentConnectionIsClosedAfterTimeoutWhenClientDoesNotClose() throws Exception {
        server.handleRequests(exchange -> {
            exchange.setPersistent(false);
            exchange.getResponseSender().send("served\n");
        });
        try (Socket client = server.connect()) {
            StreamConnection connection = server.trackNext();
            assertExchanged(client);
            server.ioThread().run(() -> {
                server.advanceAndCheckTimeouts(0);
                assertTrue("the response may be on its way", connection.isOpen());
                server.advanceAndCheckTimeouts(IDLE_TIMEOUT_NANOS);
                assertFalse(connection.isOpen());
            });
        }
    }
}
