package fawnlb.client;

import static fawnlb.client.TrackerHarness.REQUEST;
import static fawnlb.client.TrackerHarness.assertExchanged;
import static fawnlb.client.TrackerHarness.send;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.client.ClientConnectionTracker.RequestAdmission;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryObserver;
import fawnlb.memory.MemoryUse;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;

/** What the heads and requests of tracked connections reserve, and what happens where there is no room for them. */
public class RequestMemoryTest {
    private static final int MAX_CONNECTIONS = 10;
    /** Room for one incomplete head of the kind below, and not for two. */
    private static final long CAPACITY_BYTES = 12_000;

    private static final String PARTIAL_HEAD = "GET / HTTP/1.1\r\nHost: x\r\n" + "a: b\r\n".repeat(20);
    private static final long LONG_ENOUGH_NANOS = 1_000_000_000;

    @Rule
    public final TrackerHarness server = new TrackerHarness();

    private final MemoryBudget memory = new MemoryBudget(CAPACITY_BYTES, 0, MemoryObserver.NONE);

    @Before
    public void limitMemory() {
        server.limit(MAX_CONNECTIONS, memory);
    }

    private long reserved(MemoryUse use) throws Exception {
        long[] bytes = new long[1];
        server.ioThread().run(() -> bytes[0] = memory.reservedBytes(use));
        return bytes[0];
    }

    private Socket connectAndSend(String text) throws Exception {
        Socket client = server.connect();
        send(client, text);
        server.trackNext();
        return client;
    }

    /** Returns whether the server closes the connection without a response. */
    private static boolean isClosed(Socket client) throws IOException {
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    public void incompleteHeadIsReservedUntilItsConnectionCloses() throws Exception {
        Socket client = connectAndSend(PARTIAL_HEAD);
        assertTrue(reserved(MemoryUse.REQUEST_HEADS) > 20 * 200);

        client.close();
        server.ioThread().awaitUntil(() -> memory.reservedBytes(MemoryUse.REQUEST_HEADS) == 0);
    }

    @Test
    public void completeRequestIsReservedUntilItsResponse() throws Exception {
        server.handleRequests(exchange -> {
            assertTrue(memory.reservedBytes(MemoryUse.REQUESTS) > 4096);
            assertEquals(0, memory.reservedBytes(MemoryUse.REQUEST_HEADS));
            exchange.getResponseSender().send("served\n");
        });
        try (Socket client = server.connect()) {
            server.trackNext();
            assertExchanged(client);
            assertExchanged(client);
        }
        server.ioThread().awaitUntil(() -> memory.reservedBytes(MemoryUse.REQUESTS) == 0);
    }

    @Test
    public void newIncompleteHeadIsClosedWhileTheOthersAreYoung() throws Exception {
        try (Socket first = connectAndSend(PARTIAL_HEAD);
                Socket second = connectAndSend(PARTIAL_HEAD)) {
            assertTrue(isClosed(second));

            send(first, "\r\n");
            TrackerHarness.assertServed(first);
        }
    }

    @Test
    public void oldestIncompleteHeadIsClosedToMakeRoom() throws Exception {
        try (Socket first = connectAndSend(PARTIAL_HEAD)) {
            server.ioThread().run(() -> server.timers().advance(LONG_ENOUGH_NANOS));
            try (Socket second = connectAndSend(PARTIAL_HEAD)) {
                assertTrue(isClosed(first));

                send(second, "\r\n");
                TrackerHarness.assertServed(second);
            }
        }
    }

    @Test
    public void requestWithoutRoomIsRejected() throws Exception {
        server.ioThread().run(() -> memory.open(MemoryUse.ENDPOINTS).resize(CAPACITY_BYTES - 4096));
        List<RequestAdmission> admissions = new ArrayList<>();
        server.observeAdmissions(admissions::add);

        try (Socket client = connectAndSend(REQUEST)) {
            TrackerHarness.assertServed(client);
        }
        assertEquals(List.of(RequestAdmission.NO_MEMORY), admissions);
    }
}
