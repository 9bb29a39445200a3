package fawnlb.syslog;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Sends records over one TCP connection with octet counting (RFC 6587, section 3.4.1). It connects with the first
 * record, queues records while there is no connection or the collector reads slowly, and reconnects while records are
 * queued.
 */
final class TcpTransport implements SyslogTransport {
    /** About 1 MiB of records of the largest size. */
    private static final int MAX_QUEUED_RECORDS = 512;
    /** Limits an attempt to connect, and separates it from the next one. */
    private static final long RECONNECT_DELAY_NANOS = 1_000_000_000L;

    private static final int READ_BUFFER_BYTES = 256;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final InetSocketAddress collector;
    private final Runnable onDrop;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    /** Null while there is no connection. */
    private StreamConnection connection;

    private boolean connecting;

    /** Opens no connection yet; {@code onDrop} runs for each record that is dropped. */
    TcpTransport(XnioIoThread thread, Timers timers, Mailbox mailbox, InetSocketAddress collector, Runnable onDrop) {
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.collector = collector;
        this.onDrop = onDrop;
    }

    @Override
    public void send(byte[] record) {
        if (queue.size() >= MAX_QUEUED_RECORDS) {
            onDrop.run();
            return;
        }
        queue.add(frame(record));
        if (connection != null) {
            writeQueue();
        } else {
            connect();
        }
    }

    private static ByteBuffer frame(byte[] record) {
        byte[] length = (record.length + " ").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(length.length + record.length)
                .put(length)
                .put(record)
                .flip();
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        IoFuture<StreamConnection> future = thread.openStreamConnection(collector, null, OptionMap.EMPTY);
        // A collector that never answers must not hold a descriptor for as long as the system's own timeout.
        Timers.Timer timeout = timers.schedule(RECONNECT_DELAY_NANOS, future::cancel);
        future.addNotifier(
                (completed, none) -> thread.execute(() -> {
                    timeout.cancel();
                    onConnected(completed);
                }),
                null);
    }

    private void onConnected(IoFuture<? extends StreamConnection> future) {
        connecting = false;
        try {
            if (future.getStatus() == IoFuture.Status.DONE) {
                connection = future.get();
                connection.getSinkChannel().setWriteListener(channel -> writeQueue());
                connection.getSourceChannel().setReadListener(channel -> onReadable());
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
        if (queue.isEmpty()) {
            return;
        }
        timers.schedule(
                RECONNECT_DELAY_NANOS,
                () -> mailbox.tellAlways(() -> {
                    if (connection == null) {
                        connect();
                    }
                }));
    }

    /** A collector sends nothing: a readable connection is one that the collector has closed. */
    private void onReadable() {
        try {
            if (connection != null && connection.getSourceChannel().read(ByteBuffer.allocate(READ_BUFFER_BYTES)) < 0) {
                onConnectionLost();
            }
        } catch (IOException e) {
            onConnectionLost();
        }
    }

    private void onConnectionLost() {
        IoUtils.safeClose(connection);
        connection = null;
        // The rest of a partly written record would be read as a record of its own on another connection.
        if (!queue.isEmpty() && queue.peek().position() > 0) {
            queue.poll();
            onDrop.run();
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
