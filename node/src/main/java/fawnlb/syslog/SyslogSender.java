package fawnlb.syslog;

import fawnlb.actor.Mailbox;
import fawnlb.actor.Timers;
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
    private static final int MAX_WAITING = 512;
    private static final long RECONNECT = 1_000_000_000L;

    private final XnioIoThread thread;
    private final Timers timers;
    private final Mailbox mailbox;
    private final InetSocketAddress collector;
    private final DatagramChannel datagrams;
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();
    private StreamConnection connection;
    private boolean connecting;
    private volatile long dropped;

    public SyslogSender(XnioIoThread thread, Timers timers, Mailbox mailbox, InetSocketAddress collector, boolean tcp)
            throws IOException {
        this.thread = thread;
        this.timers = timers;
        this.mailbox = mailbox;
        this.collector = collector;
        this.datagrams = tcp ? null : DatagramChannel.open();
        if (datagrams != null) {
            datagrams.configureBlocking(false);
        }
    }

    public void send(byte[] record) {
        boolean told = mailbox.tell(() -> {
            if (datagrams != null) {
                datagram(record);
                return;
            }
            if (waiting.size() >= MAX_WAITING) {
                dropped++;
                return;
            }
            byte[] count = (record.length + " ").getBytes(StandardCharsets.US_ASCII);
            waiting.add(ByteBuffer.allocate(count.length + record.length)
                    .put(count)
                    .put(record)
                    .flip());
            if (connection != null) {
                write();
            } else {
                connect();
            }
        });
        dropped += told ? 0 : 1;
    }

    /** Records that no collector got, as far as can be seen from here. */
    public long dropped() {
        return dropped;
    }

    private void datagram(byte[] record) {
        try {
            dropped += datagrams.send(ByteBuffer.wrap(record), collector) == 0 ? 1 : 0;
        } catch (IOException e) {
            dropped++;
        }
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        IoFuture<StreamConnection> future = thread.openStreamConnection(collector, null, OptionMap.EMPTY);
        // A collector that never answers must not hold a descriptor for as long as the system would.
        Timers.Timer timeout = timers.after(RECONNECT, future::cancel);
        future.addNotifier(
                (f, none) -> thread.execute(() -> {
                    timeout.cancel();
                    connected(f);
                }),
                null);
    }

    private void connected(IoFuture<? extends StreamConnection> future) {
        connecting = false;
        try {
            if (future.getStatus() == IoFuture.Status.DONE) {
                connection = future.get();
                connection.getSinkChannel().setWriteListener(c -> write());
                connection.getSourceChannel().setReadListener(c -> readable());
                connection.getSourceChannel().resumeReads();
                write();
                return;
            }
        } catch (IOException e) {
            connection = null;
        }
        again();
    }

    private void again() {
        if (!waiting.isEmpty()) {
            timers.after(
                    RECONNECT,
                    () -> mailbox.tellAlways(() -> {
                        if (connection == null) {
                            connect();
                        }
                    }));
        }
    }

    /** A collector says nothing; what can be read is its end. */
    private void readable() {
        try {
            if (connection != null && connection.getSourceChannel().read(ByteBuffer.allocate(256)) < 0) {
                lost();
            }
        } catch (IOException e) {
            lost();
        }
    }

    private void lost() {
        IoUtils.safeClose(connection);
        connection = null;
        // A record of which a part went out can't be finished on another connection.
        if (!waiting.isEmpty() && waiting.peek().position() > 0) {
            waiting.poll();
            dropped++;
        }
        again();
    }

    private void write() {
        if (connection == null) {
            return;
        }
        try {
            while (!waiting.isEmpty()) {
                ByteBuffer record = waiting.peek();
                if (record.hasRemaining() && connection.getSinkChannel().write(record) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!record.hasRemaining()) {
                    waiting.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            lost();
        }
    }
}
