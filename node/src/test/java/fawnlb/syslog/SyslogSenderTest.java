package fawnlb.syslog;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.Mailbox;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
    private final XnioWorker worker;

    public SyslogSenderTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @After
    public void end() {
        worker.shutdownNow();
    }

    private SyslogSender sender(InetSocketAddress collector, boolean tcp) throws Exception {
        XnioIoThread thread = worker.getIoThread();
        return new SyslogSender(thread, new EventLoopTimers(thread), new Mailbox(thread, 10_000), collector, tcp);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void udpSendsOneRecordPerDatagram() throws Exception {
        try (DatagramSocket collector = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            collector.setSoTimeout(5000);
            sender(new InetSocketAddress(collector.getLocalAddress(), collector.getLocalPort()), false)
                    .send(bytes("one"));
            DatagramPacket packet = new DatagramPacket(new byte[100], 100);
            collector.receive(packet);
            assertEquals("one", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        }
    }

    @Test
    public void tcpUsesOctetCountingAndReconnects() throws Exception {
        try (ServerSocket collector = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            collector.setSoTimeout(10_000);
            SyslogSender sender = sender((InetSocketAddress) collector.getLocalSocketAddress(), true);
            sender.send(bytes("\u00e9ne"));
            sender.send(bytes("two"));
            try (Socket socket = collector.accept()) {
                assertEquals(
                        "4 \u00e9ne3 two", new String(socket.getInputStream().readNBytes(11), StandardCharsets.UTF_8));
            }
            Socket[] next = new Socket[1];
            while (next[0] == null) {
                sender.send(bytes("again"));
                collector.setSoTimeout(50);
                try {
                    next[0] = collector.accept();
                } catch (java.net.SocketTimeoutException e) {
                    next[0] = null;
                }
            }
            InputStream in = next[0].getInputStream();
            assertTrue(new String(in.readNBytes(7), StandardCharsets.UTF_8).startsWith("5 again"));
            next[0].close();
        }
    }

    @Test
    public void slowCollectorDropsAndCountsRecordsWithoutBlocking() throws Exception {
        try (ServerSocket collector = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SyslogSender sender = sender((InetSocketAddress) collector.getLocalSocketAddress(), true);
            byte[] record = new byte[60_000];
            CountDownLatch told = new CountDownLatch(1);
            for (int i = 0; i < 2000; i++) {
                sender.send(record);
            }
            worker.getIoThread().execute(told::countDown);
            assertTrue(told.await(10, TimeUnit.SECONDS));
            long end = System.nanoTime() + 10_000_000_000L;
            while (sender.droppedRecords() == 0 && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertTrue(sender.droppedRecords() > 0);
        }
    }
}
