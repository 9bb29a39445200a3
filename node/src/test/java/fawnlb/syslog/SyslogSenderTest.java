package fawnlb.syslog;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.Mailbox;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

public class SyslogSenderTest {
    private static final int MAILBOX_CAPACITY = 10_000;
    private static final int TIMEOUT_MS = 10_000;

    private final XnioWorker worker;

    public SyslogSenderTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @After
    public void shutDownWorker() {
        worker.shutdownNow();
    }

    private SyslogSender udpSender(InetSocketAddress collector) throws IOException {
        return sender(collector, false);
    }

    private SyslogSender tcpSender(ServerSocket collector) throws IOException {
        return sender((InetSocketAddress) collector.getLocalSocketAddress(), true);
    }

    private SyslogSender sender(InetSocketAddress collector, boolean tcp) throws IOException {
        XnioIoThread thread = worker.getIoThread();
        Mailbox mailbox = new Mailbox(thread, MAILBOX_CAPACITY);
        return new SyslogSender(thread, new EventLoopTimers(thread), mailbox, collector, tcp);
    }

    private static ServerSocket tcpCollector() throws IOException {
        ServerSocket collector = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        collector.setSoTimeout(TIMEOUT_MS);
        return collector;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String read(Socket connection, int bytes) throws IOException {
        return new String(connection.getInputStream().readNBytes(bytes), StandardCharsets.UTF_8);
    }

    @Test
    public void udpSendsOneRecordPerDatagram() throws Exception {
        try (DatagramSocket collector = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            collector.setSoTimeout(TIMEOUT_MS / 2);
            SyslogSender sender =
                    udpSender(new InetSocketAddress(collector.getLocalAddress(), collector.getLocalPort()));

            sender.send(utf8("one"));

            DatagramPacket packet = new DatagramPacket(new byte[100], 100);
            collector.receive(packet);
            assertEquals("one", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        }
    }

    @Test
    public void tcpUsesOctetCounting() throws Exception {
        try (ServerSocket collector = tcpCollector()) {
            SyslogSender sender = tcpSender(collector);

            sender.send(utf8("\u00e9ne"));
            sender.send(utf8("two"));

            try (Socket connection = collector.accept()) {
                assertEquals("4 \u00e9ne3 two", read(connection, 11));
            }
        }
    }

    @Test
    public void tcpReconnectsAfterCollectorCloses() throws Exception {
        try (ServerSocket collector = tcpCollector()) {
            SyslogSender sender = tcpSender(collector);
            sender.send(utf8("first"));
            try (Socket connection = collector.accept()) {
                assertEquals("5 first", read(connection, 7));
            }

            try (Socket reconnected = sendUntilConnected(sender, collector, "again")) {
                assertEquals("5 again", read(reconnected, 7));
            }
        }
    }

    /** The sender connects only for a record, and notices a closed connection only when it reads or writes. */
    private static Socket sendUntilConnected(SyslogSender sender, ServerSocket collector, String record)
            throws IOException {
        collector.setSoTimeout(50);
        while (true) {
            sender.send(utf8(record));
            try {
                return collector.accept();
            } catch (SocketTimeoutException e) {
                // The connection is not open yet; the next record asks for it again.
            }
        }
    }

    @Test
    public void slowCollectorDropsAndCountsRecordsWithoutBlocking() throws Exception {
        try (ServerSocket collector = tcpCollector()) {
            SyslogSender sender = tcpSender(collector);
            byte[] record = new byte[60_000];
            CountDownLatch ioThreadIsFree = new CountDownLatch(1);

            for (int i = 0; i < 2000; i++) {
                sender.send(record);
            }
            worker.getIoThread().execute(ioThreadIsFree::countDown);

            assertTrue(ioThreadIsFree.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            while (sender.droppedRecords() == 0 && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            assertTrue(sender.droppedRecords() > 0);
        }
    }
}
