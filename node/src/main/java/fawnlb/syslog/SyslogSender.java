package fawnlb.syslog;

import fawnlb.eventloop.Mailbox;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.XnioIoThread;

/**
 * Sends records to a collector over UDP or TCP. Any thread may send: the records are handed to one I/O thread through a
 * mailbox. A record that the mailbox, the queue or the collector does not take is dropped and counted.
 */
@ThreadSafe
public final class SyslogSender {
    private final Mailbox mailbox;
    private final SyslogTransport transport;
    private final AtomicLong droppedRecords = new AtomicLong();

    /**
     * Creates a sender that works on an I/O thread.
     *
     * @param mailbox a mailbox that runs its messages on that thread
     * @param tcp whether to use TCP instead of UDP
     * @throws IOException if no UDP socket can be opened
     */
    public SyslogSender(XnioIoThread thread, Timers timers, Mailbox mailbox, InetSocketAddress collector, boolean tcp)
            throws IOException {
        this.mailbox = mailbox;
        this.transport = tcp
                ? new TcpTransport(thread, timers, mailbox, collector, droppedRecords::incrementAndGet)
                : new UdpTransport(collector, droppedRecords::incrementAndGet);
    }

    /** Sends a record as {@link SyslogFormatter} formats it; never waits for the collector. */
    public void send(byte[] record) {
        if (!mailbox.tell(() -> transport.send(record))) {
            droppedRecords.incrementAndGet();
        }
    }

    /** Returns the number of records that are known to have reached no collector. */
    public long droppedRecords() {
        return droppedRecords.get();
    }
}
