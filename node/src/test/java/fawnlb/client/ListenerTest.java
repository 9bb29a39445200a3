package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.CapturedLog;
import fawnlb.eventloop.EventLoopTimers;
import fawnlb.eventloop.Timers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

public class ListenerTest {
    private static final int CLIENTS = 50;
    private static final long TIMEOUT_SECONDS = 10;

    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    private final List<Long> queueingDelaysNanos = new CopyOnWriteArrayList<>();
    /** Accepts left that fail. */
    private int remainingFailures;

    private int acceptCalls;
    private XnioWorker worker;
    private Timers timers;
    private ServerSocketChannel channel;
    private Listener listener;

    @Before
    public void bindListener() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        timers = new EventLoopTimers(worker.getIoThread());
        channel = Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        createListener(CLIENTS);
    }

    private void createListener(int maxOpen) {
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
                new Listener.Limits(maxOpen, 100, 65536),
                timers,
                (connection, queuedNanos) -> {
                    queueingDelaysNanos.add(queuedNanos);
                    accepted.add(connection);
                });
    }

    @After
    public void stopWorker() throws IOException {
        worker.shutdownNow();
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
        StreamConnection connection = accepted.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue("nobody was accepted", connection != null);
        return connection;
    }

    private void onIoThread(Runnable task) throws Exception {
        FutureTask<?> call = new FutureTask<>(task, null);
        worker.getIoThread().execute(call);
        call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
        List<Long> delaysNanos = new CopyOnWriteArrayList<>();
        Timers delegate = timers;
        timers = new Timers() {
            @Override
            public long now() {
                return delegate.now();
            }

            @Override
            public Timer schedule(long nanos, Runnable task) {
                delaysNanos.add(nanos);
                return delegate.schedule(0, task);
            }
        };
        createListener(CLIENTS);
        remainingFailures = 40;
        try (CapturedLog log = new CapturedLog(Listener.class.getName())) {
            connect(1);
            listener.start(worker.getIoThread());
            nextAccepted();
            assertEquals(40, delaysNanos.size());
            assertTrue(
                    delaysNanos.toString(),
                    delaysNanos.stream().allMatch(pause -> pause == Listener.ACCEPT_RETRY_DELAY_NANOS));
            assertEquals(log.lines().toString(), 1, log.lines().size());
        }
    }

    /** On eight nodes under 125 new connections a second each, 39 were reset at a planned end. */
    @Test
    public void gracefulCloseAcceptsQueuedConnections() throws Exception {
        listener.start(worker.getIoThread());
        CountDownLatch busy = new CountDownLatch(1);
        worker.getIoThread().execute(() -> awaitUninterrupted(busy));
        ListenerGroup listeners = new ListenerGroup();
        listeners.add(listener);
        Thread ending = new Thread(() -> {
            try {
                listeners.closeGracefully(worker.getIoThread());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        ending.start();
        connect(CLIENTS);
        busy.countDown();
        ending.join(TIMEOUT_SECONDS * 1000);
        assertEquals(CLIENTS, accepted.size());
        assertTrue(accepted.stream().allMatch(StreamConnection::isOpen));
    }

    @Test
    public void gracefulCloseRetriesFailedAccepts() throws Exception {
        listener.start(worker.getIoThread());
        CountDownLatch closed = new CountDownLatch(1);
        onIoThread(() -> remainingFailures = 3);
        onIoThread(() -> listener.closeGracefully(closed::countDown));
        connect(1);
        assertTrue(closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, accepted.size());
        assertTrue(acceptCalls >= 4);
    }

    @Test
    public void queueingDelayCountsFromFirstFailedAccept() throws Exception {
        AtomicLong now = new AtomicLong(1000);
        Timers delegate = timers;
        timers = new Timers() {
            @Override
            public long now() {
                return now.get();
            }

            @Override
            public Timer schedule(long nanos, Runnable task) {
                now.addAndGet(nanos);
                return delegate.schedule(0, task);
            }
        };
        createListener(CLIENTS);
        remainingFailures = 7;
        connect(1);
        listener.start(worker.getIoThread());
        nextAccepted();
        onIoThread(() -> {});
        connect(1);
        nextAccepted();
        assertEquals(List.of(7 * Listener.ACCEPT_RETRY_DELAY_NANOS, 0L), queueingDelaysNanos);
    }

    @Test
    public void acceptsContinueAfterConnectionHandlerThrows() throws Exception {
        int[] failures = {1};
        listener = new Listener(
                channel, null, new Listener.Limits(CLIENTS, 100, 65536), timers, (connection, queuedNanos) -> {
                    if (failures[0]-- > 0) {
                        throw new IllegalStateException("meant to fail");
                    }
                    accepted.add(connection);
                });
        listener.start(worker.getIoThread());
        connect(1);
        connect(1);
        nextAccepted();
    }

    @Test
    public void connectionOverLimitIsAcceptedAfterAnotherCloses() throws Exception {
        createListener(2);
        listener.start(worker.getIoThread());
        connect(3);
        StreamConnection first = nextAccepted();
        nextAccepted();
        onIoThread(() -> assertTrue("the third waits", accepted.isEmpty()));
        onIoThread(() -> IoUtils.safeClose(first));
        nextAccepted();
    }
}
