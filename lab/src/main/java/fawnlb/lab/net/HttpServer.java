package fawnlb.lab.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A server for stand-ins: it reads HTTP/1.1 requests with a Content-Length and hands them on; what is answered is
 * written byte for byte by whoever answers, so that an answer can also be wrong, late or cut. Undertow would not let a
 * wrong one pass. All of it runs on the worker's one I/O thread.
 */
public final class HttpServer implements Closeable {
    private static final int ACCEPT_BACKLOG = 512;
    /** More than an accept queue of one takes. */
    private static final int QUEUE_FILLING_CONNECTIONS = 4;

    private final XnioWorker worker;
    private final Handler handler;
    private final Set<Exchange> openExchanges = new HashSet<>();
    private final InetSocketAddress address;
    private AcceptingChannel<StreamConnection> acceptor;
    private ServerSocketChannel unservedListener;
    private final List<SocketChannel> queueFillers = new ArrayList<>();

    /** A request as it came; header names in lower case. */
    public record Request(String method, String path, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Hears of connections and requests, on the I/O thread. */
    public interface Handler {
        default void onConnected(Exchange exchange) {}

        void onRequest(Request request, Exchange exchange);
    }

    /** Listens on this loopback address; port 0 for any. */
    public HttpServer(XnioWorker worker, InetSocketAddress address, Handler handler) throws IOException {
        this.worker = worker;
        this.handler = handler;
        this.address =
                address.getPort() != 0 ? address : new InetSocketAddress(address.getAddress(), Ports.findFreePort());
        listen();
    }

    public InetSocketAddress address() {
        return address;
    }

    private void listen() throws IOException {
        acceptor = worker.createStreamConnectionServer(
                address,
                ChannelListeners.openListenerAdapter((StreamConnection c) -> {
                    Exchange exchange = new Exchange(c);
                    openExchanges.add(exchange);
                    handler.onConnected(exchange);
                }),
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, ACCEPT_BACKLOG)
                        .getMap());
        acceptor.resumeAccepts();
    }

    /** New connections are refused from now on. */
    public void stopListening() {
        IoUtils.safeClose(acceptor);
        acceptor = null;
    }

    /**
     * New connections never come up from now on: the port stays open behind an accept queue that is full, where Linux
     * drops what comes.
     */
    public void dropNewConnections() throws IOException {
        stopListening();
        unservedListener = ServerSocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(address, 1);
        for (int i = 0; i < QUEUE_FILLING_CONNECTIONS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            queueFillers.add(filler);
        }
    }

    private void closeUnservedListener() {
        IoUtils.safeClose(unservedListener);
        queueFillers.forEach(IoUtils::safeClose);
        queueFillers.clear();
    }

    /** Listens again where it did. */
    public void resumeListening() throws IOException {
        closeUnservedListener();
        if (acceptor == null) {
            listen();
        }
    }

    /** Resets every open connection. */
    public void resetConnections() {
        Set.copyOf(openExchanges).forEach(Exchange::reset);
    }

    @Override
    public void close() {
        stopListening();
        closeUnservedListener();
        resetConnections();
    }

    /** One connection and the request on it. */
    public final class Exchange {
        private final StreamConnection channel;
        private final Deque<ByteBuffer> outbound = new ArrayDeque<>();
        private ByteBuffer inbound = ByteBuffer.allocate(4096);
        private Runnable closeListener = () -> {};
        private boolean closeAfterFlush;
        private boolean closed;
        private boolean silent;
        private FaultInjector faultInjector;
        private int responseBytes;

        private Exchange(StreamConnection channel) {
            this.channel = channel;
            channel.getSourceChannel().setReadListener(c -> onReadable());
            channel.getSinkChannel().setWriteListener(c -> onWritable());
            channel.getSourceChannel().resumeReads();
        }

        public boolean isOpen() {
            return !closed;
        }

        /** Runs once when the other side, or this one, has closed the connection. */
        public void setCloseListener(Runnable listener) {
            closeListener = listener;
        }

        /** From here on nothing is read or written, and the connection stays open. */
        public void stopCommunicating() {
            silent = true;
            outbound.clear();
            channel.getSourceChannel().suspendReads();
            channel.getSinkChannel().suspendWrites();
        }

        public void write(String text) {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        public void write(byte[] bytes) {
            responseBytes += bytes.length;
            if (faultInjector != null) {
                faultInjector.write(bytes);
            } else {
                send(bytes);
            }
        }

        /** What is done to the bytes of the next answer; none of it to the one after. */
        public void injectFault(Fault fault) {
            faultInjector = fault == null ? null : new FaultInjector(this, fault, worker.getIoThread());
            responseBytes = 0;
        }

        /** Told when an answer that may be spoilt is whole: its length in bytes, spoilt or not. */
        public int endResponse() {
            FaultInjector injector = faultInjector;
            faultInjector = null;
            if (injector != null) {
                injector.endResponse();
            }
            return responseBytes;
        }

        /** Whether the fault of the answer that is being written has struck. */
        public boolean isFaultInjected() {
            return faultInjector != null && faultInjector.isInjected();
        }

        void send(byte[] bytes) {
            if (!closed && !silent) {
                outbound.add(ByteBuffer.wrap(bytes));
                onWritable();
            }
        }

        /** Ends the sending; the other side's is still read. */
        void shutdownOutput() {
            try {
                channel.getSinkChannel().shutdownWrites();
                channel.getSinkChannel().flush();
            } catch (IOException e) {
                close();
            }
        }

        /** Closes when all has been written. */
        public void closeWhenFlushed() {
            closeAfterFlush = true;
            onWritable();
        }

        /** Closes with a reset in place of an end. */
        public void reset() {
            try {
                channel.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException | IllegalArgumentException e) {
                // Then it closes in the ordinary way.
            }
            close();
        }

        public void close() {
            if (!closed) {
                closed = true;
                openExchanges.remove(this);
                IoUtils.safeClose(channel);
                Runnable listener = closeListener;
                closeListener = () -> {};
                listener.run();
            }
        }

        private void onWritable() {
            try {
                while (!outbound.isEmpty()) {
                    if (channel.getSinkChannel().write(outbound.peek()) == 0) {
                        channel.getSinkChannel().resumeWrites();
                        return;
                    }
                    if (!outbound.peek().hasRemaining()) {
                        outbound.poll();
                    }
                }
                channel.getSinkChannel().suspendWrites();
                if (closeAfterFlush) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void onReadable() {
            try {
                while (!closed && !silent) {
                    if (!inbound.hasRemaining()) {
                        inbound = ByteBuffer.allocate(inbound.capacity() * 2).put(inbound.flip());
                    }
                    int count = channel.getSourceChannel().read(inbound);
                    if (count < 0) {
                        close();
                        return;
                    }
                    if (count == 0) {
                        return;
                    }
                    parseRequest();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void parseRequest() {
            String text = new String(inbound.array(), 0, inbound.position(), StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            String[] lines = text.substring(0, headEnd).split("\r\n");
            Map<String, String> headers = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                headers.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim());
            }
            int bodyLength = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            int requestEnd = headEnd + 4 + bodyLength;
            if (inbound.position() < requestEnd) {
                return;
            }
            byte[] body = new byte[bodyLength];
            System.arraycopy(inbound.array(), headEnd + 4, body, 0, bodyLength);
            inbound.limit(inbound.position()).position(requestEnd);
            inbound.compact();
            String[] requestLine = lines[0].split(" ");
            handler.onRequest(new Request(requestLine[0], requestLine[1], headers, body), this);
        }
    }
}
