package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.IoThread;
import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

public class ListenerTest {
    private static final int CLIENTS = 50;
    private static final int BACKLOG = 100;
    private static final int SEND_BUFFER_BYTES = 65536;

    @Rule
    public final IoThread ioThread = new IoThread();

    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    private final List<Long> queueingDelaysNanos = new CopyOnWriteArrayList<>();
    /** How many of the next accepts fail. */
    private int remainingFailures;

    private int acceptCalls;
    private Timers timers;
    private ServerSocketChannel channel;
    private Listener listener;

    @Before
    public void bindListener() throws Exception {
        timers = new EventLoopTimers(ioThread.thread());
        channel = Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        createListener(new AcceptedConnections(CLIENTS));
    }

    /** Has room for as many connections as a test allows, and collects those that were accepted. */
    private class AcceptedConnections implements Listener.ConnectionHandler {
        private final int maxConnections;
        private int openConnections;
        private Runnable waiting = () -> {};

        AcceptedConnections(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        @Override
        public boolean hasRoom() {
            return openConnections < maxConnections;
        }

        @Override
        public void whenRoom(Runnable task) {
            waiting = task;
        }

        @Override
        public void onAccepted(StreamConnection connection, long queuedNanos) {
            openConnections++;
            queueingDelaysNanos.add(queuedNanos);
            accepted.add(connection);
        }

        void close(StreamConnection connection) {
            IoUtils.safeClose(connection);
            openConnections--;
            waiting.run();
        }
    }

    private void createListener(Listener.ConnectionHandler handler) {
        listener = new Listener(
                channel,
                () -> {
                    acceptCalls++;
                    if (remainingFailures > 0) {
                        remainingFailures--;
                        throw new IOException("Too many open files in system");
                    }
                    return channel.accept();
                },
                new Listener.SocketOptions(BACKLOG, SEND_BUFFER_BYTES),
                timers,
                handler);
    }

    @After
    public void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket client = new Socket(
                    listener.address().getAddress(), listener.address().getPort());
            client.setSoTimeout(10_000);
            clients.add(client);
        }
    }

    private StreamConnection nextAccepted() throws InterruptedException {
        StreamConnection connection = accepted.poll(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue("no connection was accepted", connection != null);
        return connection;
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void failedAcceptsRetryAtFixedDelayAndLogOnce() throws Exception {
        ImmediateTimers immediateTimers = new ImmediateTimers(ioThread.thread());
        timers = immediateTimers;
        createListener(new AcceptedConnections(CLIENTS));
        remainingFailures = 40;
        try (CapturedLog log = new CapturedLog(Listener.class.getName())) {
            connect(1);
            listener.start(ioThread.thread());
            nextAccepted();
            assertEquals(Collections.nCopies(40, Listener.ACCEPT_RETRY_DELAY_NANOS), immediateTimers.delaysNanos());
            assertEquals(log.lines().toString(), 1, log.lines().size());
        }
    }

    /** On eight instances under 125 new connections a second each, 39 were reset at a graceful shutdown. */
    @Test
    public void gracefulCloseAcceptsQueuedConnections() throws Exception {
        listener.start(ioThread.thread());
        CountDownLatch busy = new CountDownLatch(1);
        ioThread.thread().execute(() -> awaitUninterrupted(busy));
        ListenerGroup listeners = new ListenerGroup();
        listeners.add(listener);
        Thread ending = new Thread(() -> {
            try {
                listeners.closeGracefully(ioThread.thread());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        ending.start();
        connect(CLIENTS);
        busy.countDown();
        ending.join(IoThread.TIMEOUT_SECONDS * 1000);
        assertEquals(CLIENTS, accepted.size());
        assertTrue(accepted.stream().allMatch(StreamConnection::isOpen));
    }

    @Test
    public void gracefulCloseRetriesFailedAccepts() throws Exception {
        listener.start(ioThread.thread());
        CountDownLatch closed = new CountDownLatch(1);
        ioThread.run(() -> remainingFailures = 3);
        ioThread.run(() -> listener.closeGracefully(closed::countDown));
        connect(1);
        assertTrue(closed.await(IoThread.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, accepted.size());
        assertTrue(acceptCalls >= 4);
    }

    @Test
    public void queueingDelayCountsFromFirstFailedAccept() throws Exception {
        timers = new ImmediateTimers(ioThread.thread());
        createListener(new AcceptedConnections(CLIENTS));
        remainingFailures = 7;
        connect(1);
        listener.start(ioThread.thread());
        nextAccepted();
        ioThread.run(() -> {});
        connect(1);
        nextAccepted();
        assertEquals(List.of(7 * Listener.ACCEPT_RETRY_DELAY_NANOS, 0L), queueingDelaysNanos);
    }

    /** Guards against requests that count as late since a burst some time ago has filled one batch of accepts. */
    @Test
    public void connectionLongAfterFullBatchHasNotWaited() throws Exception {
        ImmediateTimers immediateTimers = new ImmediateTimers(ioThread.thread());
        timers = immediateTimers;
        createListener(new AcceptedConnections(CLIENTS));
        connect(Listener.MAX_ACCEPTS_PER_EVENT);
        listener.start(ioThread.thread());
        for (int i = 0; i < Listener.MAX_ACCEPTS_PER_EVENT; i++) {
            nextAccepted();
        }
        ioThread.run(() -> {});
        ioThread.run(() -> {});
        immediateTimers.advance(TimeUnit.SECONDS.toNanos(60));
        connect(1);
        nextAccepted();
        assertEquals(0L, (long) queueingDelaysNanos.get(Listener.MAX_ACCEPTS_PER_EVENT));
    }

    @Test
    public void acceptsContinueAfterConnectionHandlerThrows() throws Exception {
        AtomicInteger handlerFailures = new AtomicInteger(1);
        createListener(new AcceptedConnections(CLIENTS) {
            @Override
            public void onAccepted(StreamConnection connection, long queuedNanos) {
                if (handlerFailures.getAndDecrement() > 0) {
                    throw new IllegalStateException("meant to fail");
                }
                super.onAccepted(connection, queuedNanos);
            }
        });
        listener.start(ioThread.thread());
        connect(1);
        connect(1);
        nextAccepted();
    }

    @Test
    public void connectionOverLimitIsAcceptedAfterAnotherCloses() throws Exception {
        AcceptedConnections connections = new AcceptedConnections(2);
        createListener(connections);
        listener.start(ioThread.thread());
        connect(3);
        StreamConnection first = nextAccepted();
        nextAccepted();
        ioThread.run(() -> assertTrue("the third waits", accepted.isEmpty()));
        ioThread.run(() -> connections.close(first));
        nextAccepted();
    }
}
