package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.IoThread;
import java.util.ArrayList;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

public class ConnectionTableTest {
    private static final long NOT_QUEUED_NANOS = 0;

    @Rule
    public final IoThread ioThread = new IoThread();

    private final TickingTimers timers = new TickingTimers();
    private final List<ConnectionQuota> removed = new ArrayList<>();
    private final ConnectionTable table = new ConnectionTable(timers, removed::add);
    private final List<ConnectionQuota> quotas = new ConnectionLimit(8, 2, List.of("first", "second")).quotas();
    private final ConnectionQuota quota = quotas.get(0);

    private StreamConnection createConnection() throws Exception {
        return ioThread.thread().createFullDuplexPipeConnection().getLeftSide();
    }

    @Test
    public void oldestInStateIsTheOneThatEnteredItFirst() throws Exception {
        StreamConnection first = createConnection();
        StreamConnection second = createConnection();
        table.add(first, quota, NOT_QUEUED_NANOS);
        table.add(second, quota, NOT_QUEUED_NANOS);
        assertSame(first, table.oldestIn(ConnectionState.IDLE, any -> true));

        table.startServing(first);
        assertSame(second, table.oldestIn(ConnectionState.IDLE, any -> true));

        table.enterIfPresent(first, ConnectionState.IDLE);
        assertSame(second, table.oldestIn(ConnectionState.IDLE, any -> true));
        assertEquals(List.of(second, first), table.connections());
        assertNull(table.oldestIn(ConnectionState.CLOSING, any -> true));
    }

    @Test
    public void bytesReadStartHeadOnIdleConnectionOnly() throws Exception {
        StreamConnection connection = createConnection();
        table.add(connection, quota, NOT_QUEUED_NANOS);
        table.onBytesRead(connection);
        long headSinceNanos = table.get(connection).sinceNanos();
        table.onBytesRead(connection);
        assertTrue(table.get(connection).isIn(ConnectionState.READING_HEAD));
        assertEquals(headSinceNanos, table.get(connection).sinceNanos());

        table.startServing(connection);
        table.onBytesRead(connection);
        assertTrue(table.get(connection).isIn(ConnectionState.SERVING));
    }

    @Test
    public void queueingDelayBelongsToFirstRequestAlone() throws Exception {
        StreamConnection connection = createConnection();
        table.add(connection, quota, 500);
        timers.advance(100);
        assertTrue(table.startServing(connection) >= 600);
        assertEquals(ConnectionTable.NOT_QUEUED, table.startServing(connection));
    }

    /** Guards against a request's time that runs from the accept of a connection on which nothing had come. */
    @Test
    public void queueingDelayEndsWithFirstReadThatBringsNothing() throws Exception {
        StreamConnection silent = createConnection();
        StreamConnection begun = createConnection();
        table.add(silent, quota, 500);
        table.add(begun, quota, 500);
        table.onBytesRead(begun);
        table.onFirstReadDone(silent);
        table.onFirstReadDone(begun);
        assertEquals(ConnectionTable.NOT_QUEUED, table.startServing(silent));
        assertTrue(table.startServing(begun) >= 500);
    }

    @Test
    public void connectionsAreCountedAndFoundByQuota() throws Exception {
        StreamConnection first = createConnection();
        StreamConnection second = createConnection();
        table.add(first, quota, NOT_QUEUED_NANOS);
        table.add(second, quotas.get(1), NOT_QUEUED_NANOS);
        table.startServing(first);
        assertEquals(1, table.size(quota));
        assertEquals(0, table.sizeWithoutRequest(quota));
        assertEquals(1, table.sizeWithoutRequest(quotas.get(1)));
        assertSame(second, table.oldestIn(ConnectionState.IDLE, any -> true));
        assertNull(table.oldestIn(ConnectionState.IDLE, other -> other == quota));
    }

    @Test
    public void removedConnectionEntersNoState() throws Exception {
        StreamConnection connection = createConnection();
        table.add(connection, quota, NOT_QUEUED_NANOS);
        table.remove(connection);
        table.enterIfPresent(connection, ConnectionState.IDLE);
        table.onBytesRead(connection);
        assertNull(table.get(connection));
        assertEquals(0, table.size());
        assertEquals(0, table.size(quota));
        assertEquals(List.of(quota), removed);
        IoUtils.safeClose(connection);
    }
}
