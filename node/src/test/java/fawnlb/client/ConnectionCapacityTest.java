package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.IoThread;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Rule;
import org.junit.Test;
import org.xnio.StreamConnection;

/** Guards against limits of single listeners that nobody makes room for (review/2). */
public class ConnectionCapacityTest {
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_OVER_LIMIT = 4;
    private static final int GUARANTEED = 2;
    private static final int MAX_OF_ONE_FRONT = MAX_CONNECTIONS - GUARANTEED;

    @Rule
    public final IoThread ioThread = new IoThread();

    private final TickingTimers timers = new TickingTimers();
    private final ConnectionTable table = new ConnectionTable(timers, this::onRemoved);
    private final ConnectionCapacity capacity = new ConnectionCapacity(
            table,
            quotas -> {
                StreamConnection oldest = table.oldestIn(ConnectionState.IDLE, quotas);
                table.remove(oldest);
                return oldest != null;
            },
            timers);
    private final List<ConnectionQuota> quotas =
            new ConnectionLimit(MAX_CONNECTIONS, MAX_OVER_LIMIT, List.of("first", "second")).quotas();
    private final ConnectionQuota first = quotas.get(0);
    private final ConnectionQuota second = quotas.get(1);

    private void onRemoved(ConnectionQuota quota) {
        capacity.onConnectionClosed(quota);
    }

    private StreamConnection open(ConnectionQuota quota) throws Exception {
        assertTrue("room", capacity.hasRoom(quota));
        capacity.makeRoomForAccepted(quota);
        StreamConnection connection =
                ioThread.thread().createFullDuplexPipeConnection().getLeftSide();
        table.add(connection, quota, 0);
        return connection;
    }

    private List<StreamConnection> openServing(ConnectionQuota quota, int count) throws Exception {
        List<StreamConnection> opened = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StreamConnection connection = open(quota);
            table.startServing(connection);
            opened.add(connection);
        }
        return opened;
    }

    @Test
    public void idleConnectionsOfAnyFrontAreClosedForNewOnes() throws Exception {
        for (int i = 0; i < 10 * MAX_CONNECTIONS; i++) {
            open(first);
            timers.runTasksAfterPoll();
        }
        assertEquals(MAX_OF_ONE_FRONT, table.size(first));
        for (int i = 0; i < MAX_OF_ONE_FRONT; i++) {
            open(second);
            timers.runTasksAfterPoll();
        }
        assertEquals(MAX_CONNECTIONS, table.size());
        assertEquals(MAX_OF_ONE_FRONT, table.size(second));
    }

    @Test
    public void requestsOfOneFrontLeaveTheOtherItsShare() throws Exception {
        openServing(first, MAX_OF_ONE_FRONT);
        assertTrue(capacity.tryAdmit(first));
        openServing(first, MAX_OVER_LIMIT / 2);
        assertFalse("over its quota", capacity.tryAdmit(first));
        assertFalse("no place to reject one more", capacity.hasRoom(first));
        openServing(second, GUARANTEED);
        assertTrue("within its share", capacity.tryAdmit(second));
        timers.runTasksAfterPoll();
        openServing(second, MAX_OVER_LIMIT / 2);
        assertFalse("beyond its share", capacity.tryAdmit(second));
        assertFalse(capacity.hasRoom(second));
    }

    @Test
    public void busyFrontUsesTheRoomOfAnIdleOne() throws Exception {
        for (int i = 0; i < MAX_OF_ONE_FRONT; i++) {
            open(second);
        }
        for (int i = 0; i < MAX_OF_ONE_FRONT; i++) {
            openServing(first, 1);
            timers.runTasksAfterPoll();
        }
        assertTrue(capacity.tryAdmit(first));
        assertEquals(GUARANTEED, table.size(second));
    }

    @Test
    public void descriptorsOfClosedConnectionsAreUsedAfterTheNextPoll() throws Exception {
        List<StreamConnection> serving = openServing(first, MAX_OF_ONE_FRONT);
        serving.addAll(openServing(second, GUARANTEED));
        serving.forEach(table::remove);
        for (ConnectionQuota quota : quotas) {
            openServing(quota, MAX_OVER_LIMIT / 2);
            assertFalse("its part of the descriptors over the limit is used", capacity.hasRoom(quota));
        }
        AtomicInteger notified = new AtomicInteger();
        capacity.whenRoom(notified::incrementAndGet);
        timers.runTasksAfterPoll();
        assertEquals(1, notified.get());
        assertTrue(capacity.hasRoom(first));
    }

    /** Guards against a flood on one front that accepts all that there is room for before the other one's turn. */
    @Test
    public void floodOnOneFrontLeavesTheOtherItsAcceptsBetweenTwoPolls() throws Exception {
        for (int i = 0; i < MAX_OF_ONE_FRONT; i++) {
            open(first);
        }
        openServing(second, GUARANTEED);
        timers.runTasksAfterPoll();
        for (int poll = 0; poll < 10; poll++) {
            while (capacity.hasRoom(first)) {
                open(first);
            }
            openServing(second, MAX_OVER_LIMIT / 2).forEach(table::remove);
            timers.runTasksAfterPoll();
        }
    }

    @Test
    public void waitingListenerIsNotifiedOnceWhenRequestEnds() {
        AtomicInteger notified = new AtomicInteger();
        capacity.whenRoom(notified::incrementAndGet);
        capacity.onRequestEnded();
        capacity.onRequestEnded();
        assertEquals(1, notified.get());
    }
}
