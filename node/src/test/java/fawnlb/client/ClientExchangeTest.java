package fawnlb.client;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.eventloop.Mailbox;
import fawnlb.proxy.ResponseSource;
import fawnlb.stream.AttemptEnd;
import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.io.InputStream;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

public class ClientExchangeTest {
    private static final class TextResponseFormatter implements ResponseFormatter {
        @Override
        public String backendContentType() {
            return "text/plain";
        }

        @Override
        public FixedResponse formatRejection(AttemptEnd cause) {
            return new FixedResponse(503, "text/plain", "no\n");
        }

        @Override
        public FixedResponse formatFailure(AttemptEnd cause) {
            return formatRejection(cause);
        }
    }

    /**
     * A burst of leavers on a busy processor: their requests are read and sent on before the I/O thread comes to look
     * at what they have closed since. Here it never comes to look, and has to be asked.
     */
    @Test
    public void disconnectedClientIsNotPresentBeforeItsCloseIsRead() throws Exception {
        for (String pipelined : new String[] {"", "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"}) {
            CountDownLatch presenceChecked = new CountDownLatch(1);
            CountDownLatch disconnected = new CountDownLatch(1);
            CompletableFuture<String> presence = new CompletableFuture<>();
            AtomicInteger disconnects = new AtomicInteger();
            Undertow server = Undertow.builder()
                    .setIoThreads(1)
                    .addHttpListener(0, "127.0.0.1")
                    .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                        ClientExchange client = new ClientExchange(
                                exchange, new Mailbox(exchange.getIoThread(), 9), new TextResponseFormatter());
                        client.attach(disconnects::incrementAndGet);
                        String before = "present " + client.isConnected();
                        presenceChecked.countDown();
                        try {
                            disconnected.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        // The close is on its way through the kernel; this thread looks at no socket meanwhile.
                        long end = System.nanoTime() + 10_000_000_000L;
                        boolean present = client.isConnected();
                        while (present && System.nanoTime() < end) {
                            present = client.isConnected();
                        }
                        presence.complete(before + ", then " + present + ", told " + disconnects);
                    }))
                    .build();
            server.start();
            InetSocketAddress address =
                    (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
            try {
                Socket socket = new Socket(address.getAddress(), address.getPort());
                socket.getOutputStream().write(("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + pipelined).getBytes());
                presenceChecked.await();
                socket.close();
                disconnected.countDown();
                assertEquals("present true, then false, told 1", presence.get(20, TimeUnit.SECONDS));
            } finally {
                server.stop();
            }
        }
    }

    /** An overloaded day filled a node's heap in 50 s: connections kept every exchange that they had carried. */
    @Test
    public void connectionReleasesFinishedExchanges() throws Exception {
        List<WeakReference<ClientExchange>> exchanges = new CopyOnWriteArrayList<>();
        Undertow server = Undertow.builder()
                .setIoThreads(1)
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    ClientExchange client = new ClientExchange(
                            exchange, new Mailbox(exchange.getIoThread(), 9), new TextResponseFormatter());
                    exchanges.add(new WeakReference<>(client));
                    client.attach(() -> {});
                    client.sendRejection(null, 1);
                }))
                .build();
        server.start();
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            InputStream in = socket.getInputStream();
            for (int i = 0; i < 20; i++) {
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                StringBuilder answer = new StringBuilder();
                while (!answer.toString().endsWith("no\n")) {
                    answer.append((char) in.read());
                }
            }
            long end = System.nanoTime() + 10_000_000_000L;
            long reachable = 20;
            while (reachable > 2 && System.nanoTime() < end) {
                System.gc();
                reachable = exchanges.stream()
                        .filter(reference -> reference.get() != null)
                        .count();
            }
            assertTrue("kept " + reachable + " of 20", reachable <= 2);
        } finally {
            server.stop();
        }
    }

    /** Throws at the start of an answer, which no front is expected to do. */
    private static final class ThrowingResponseFormatter implements ResponseFormatter {
        private final TextResponseFormatter delegate = new TextResponseFormatter();

        @Override
        public String backendContentType() {
            throw new IllegalStateException("meant to fail");
        }

        @Override
        public FixedResponse formatRejection(AttemptEnd cause) {
            return delegate.formatRejection(cause);
        }

        @Override
        public FixedResponse formatFailure(AttemptEnd cause) {
            return delegate.formatFailure(cause);
        }
    }

    private static final ResponseSource EMPTY_SOURCE = new ResponseSource() {
        @Override
        public void streamTo(Sink sink) {}

        @Override
        public void requestNextChunk() {}

        @Override
        public void onUnsentBytes(int left) {}

        @Override
        public void onSinkClosed() {}
    };

    private static void assertRejectedAndCancelled(Mailbox mailbox, CountDownLatch cancelled) throws Exception {
        Undertow server = Undertow.builder()
                .setIoThreads(1)
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    ClientExchange client = new ClientExchange(exchange, mailbox, new ThrowingResponseFormatter());
                    client.attach(cancelled::countDown);
                    client.streamResponse(EMPTY_SOURCE);
                }))
                .build();
        server.start();
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            String answer = new String(socket.getInputStream().readAllBytes());
            assertTrue(answer, answer.startsWith("HTTP/1.1 503") && answer.endsWith("no\n"));
            assertTrue("the attempt is called off", cancelled.await(10, TimeUnit.SECONDS));
        } finally {
            server.stop();
        }
    }

    @Test
    public void clientIsAnsweredWhenResponseStartThrows() throws Exception {
        assertRejectedAndCancelled(new Mailbox(Runnable::run, 9), new CountDownLatch(1));
    }

    @Test
    public void clientIsAnsweredWhenMailboxIsFull() throws Exception {
        assertRejectedAndCancelled(new Mailbox(Runnable::run, 0), new CountDownLatch(1));
    }
}
