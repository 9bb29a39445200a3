package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.IoThread;
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
    private final ConnectionTable table = new ConnectionTable(timers);

    private StreamConnection createConnection() throws Exception {
        return ioThread.thread().createFullDuplexPipeConnection().getLeftSide();
    }

    @Test
    public void oldestInStateIsTheOneThatEnteredItFirst() throws Exception {
        StreamConnection first = createConnection();
        StreamConnection second = createConnection();
        table.add(first, NOT_QUEUED_NANOS);
        table.add(second, NOT_QUEUED_NANOS);
        assertSame(first, table.oldestIn(ConnectionState.IDLE));

        table.startServing(first);
        assertSame(second, table.oldestIn(ConnectionState.IDLE));

        table.enterIfPresent(first, ConnectionState.IDLE);
        assertSame(second, table.oldestIn(ConnectionState.IDLE));
        assertEquals(List.of(second, first), table.connections());
        assertNull(table.oldestIn(ConnectionState.CLOSING));
    }

    @Test
    public void bytesReadStartHeadOnIdleConnectionOnly() throws Exception {
        StreamConnection connection = createConnection();
        table.add(connection, NOT_QUEUED_NANOS);
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
        table.add(connection, 500);
        timers.advance(100);
        assertTrue(table.startServing(connection) >= 600);
        assertEquals(ConnectionTable.NOT_QUEUED, table.startServing(connection));
    }

    @Test
    public void removedConnectionEntersNoState() throws Exception {
        StreamConnection connection = createConnection();
        table.add(connection, NOT_QUEUED_NANOS);
        table.remove(connection);
        table.enterIfPresent(connection, ConnectionState.IDLE);
        table.onBytesRead(connection);
        assertNull(table.get(connection));
        assertEquals(0, table.size());
        IoUtils.safeClose(connection);
    }
}
