package fawnlb.syslog;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The collector's actor: sends records over UDP, or over TCP counted in octets (RFC 6587, 3.4.1). A record that finds
 * no room is dropped and counted; nothing waits for the collector.
 */
public final class SyslogSender {
    private static final int MAX_QUEUED_RECORDS = 512;
    private static final long RECONNECT_DELAY_NANOS = 1_000_000_000L;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final InetSocketAddress collector;
    private final DatagramChannel datagramChannel;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamConnection connection;
    private boolean connecting;
    private volatile long droppedRecords;

    public SyslogSender(XnioIoThread thread, Timers timers, Mailbox mailbox, InetSocketAddress collector, boolean tcp)
            throws IOException {
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.collector = collector;
        this.datagramChannel = tcp ? null : DatagramChannel.open();
        if (datagramChannel != null) {
            datagramChannel.configureBlocking(false);
        }
    }

    public void send(byte[] record) {
        boolean accepted = mailbox.tell(() -> {
            if (datagramChannel != null) {
                sendDatagram(record);
                return;
            }
            if (queue.size() >= MAX_QUEUED_RECORDS) {
                droppedRecords++;
                return;
            }
            byte[] count = (record.length + " ").getBytes(StandardCharsets.US_ASCII);
            queue.add(ByteBuffer.allocate(count.length + record.length)
                    .put(count)
                    .put(record)
                    .flip());
            if (connection != null) {
                writeQueue();
            } else {
                connect();
            }
        });
        droppedRecords += accepted ? 0 : 1;
    }

    /** Records that no collector got, as far as can be seen from here. */
    public long droppedRecords() {
        return droppedRecords;
    }

    private void sendDatagram(byte[] record) {
        try {
            droppedRecords += datagramChannel.send(ByteBuffer.wrap(record), collector) == 0 ? 1 : 0;
        } catch (IOException e) {
            droppedRecords++;
        }
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        IoFuture<StreamConnection> future = thread.openStreamConnection(collector, null, OptionMap.EMPTY);
        // A collector that never answers must not hold a descriptor for as long as the system would.
        Timers.Timer timeout = timers.schedule(RECONNECT_DELAY_NANOS, future::cancel);
        future.addNotifier(
                (f, none) -> thread.execute(() -> {
                    timeout.cancel();
                    onConnected(f);
                }),
                null);
    }

    private void onConnected(IoFuture<? extends StreamConnection> future) {
        connecting = false;
        try {
            if (future.getStatus() == IoFuture.Status.DONE) {
                connection = future.get();
                connection.getSinkChannel().setWriteListener(c -> writeQueue());
                connection.getSourceChannel().setReadListener(c -> onReadable());
                connection.getSourceChannel().resumeReads();
                writeQueue();
                return;
            }
        } catch (IOException e) {
            connection = null;
        }
        scheduleReconnect();
    }

    private void scheduleReconnect() {
        if (!queue.isEmpty()) {
            timers.schedule(
                    RECONNECT_DELAY_NANOS,
                    () -> mailbox.tellAlways(() -> {
                        if (connection == null) {
                            connect();
                        }
                    }));
        }
    }

    /** A collector says nothing; what can be read is its end. */
    private void onReadable() {
        try {
            if (connection != null && connection.getSourceChannel().read(ByteBuffer.allocate(256)) < 0) {
                onConnectionLost();
            }
        } catch (IOException e) {
            onConnectionLost();
        }
    }

    private void onConnectionLost() {
        IoUtils.safeClose(connection);
        connection = null;
        // A record of which a part went out can't be finished on another connection.
        if (!queue.isEmpty() && queue.peek().position() > 0) {
            queue.poll();
            droppedRecords++;
        }
        scheduleReconnect();
    }

    private void writeQueue() {
        if (connection == null) {
            return;
        }
        try {
            while (!queue.isEmpty()) {
                ByteBuffer record = queue.peek();
                if (record.hasRemaining() && connection.getSinkChannel().write(record) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!record.hasRemaining()) {
                    queue.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            onConnectionLost();
        }
    }
}
