package fawnlb.lab.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * An HTTP/1.1 server for emulated services. It parses requests with a Content-Length and passes them to a handler,
 * which writes the response byte for byte. So a response can also be malformed, late or truncated, which a regular
 * server such as Undertow prevents. All methods but the constructor are called on the worker's single I/O thread.
 */
public final class HttpServer implements Closeable {
    private static final int ACCEPT_BACKLOG = 512;
    /** Connections that fill the accept queue of a listener with a backlog of one; a few more than Linux admits. */
    private static final int QUEUE_FILLING_CONNECTIONS = 4;

    private final XnioWorker worker;
    private final Handler handler;
    private final Set<HttpExchange> openExchanges = new HashSet<>();
    private final InetSocketAddress address;
    private AcceptingChannel<StreamConnection> acceptor;
    private ServerSocketChannel unservedListener;
    private final List<SocketChannel> queueFillers = new ArrayList<>();

    /** Receives connections and requests on the I/O thread. */
    public interface Handler {
        /** A client has connected. */
        default void onConnected(HttpExchange exchange) {}

        /** A complete request has been received; the handler writes the response now or later. */
        void onRequest(HttpRequest request, HttpExchange exchange);
    }

    /** Listens on this loopback address; port 0 for any free port, which is kept from then on. */
    public HttpServer(XnioWorker worker, InetSocketAddress address, Handler handler) throws IOException {
        this.worker = worker;
        this.handler = handler;
        this.address =
                address.getPort() != 0 ? address : new InetSocketAddress(address.getAddress(), Ports.findFreePort());
        listen();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    private void listen() throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                .getMap();
        acceptor = worker.createStreamConnectionServer(
                address, ChannelListeners.openListenerAdapter(this::onAccepted), options);
        acceptor.resumeAccepts();
    }

    private void onAccepted(StreamConnection channel) {
        HttpExchange exchange = new HttpExchange(channel, worker.getIoThread(), handler, openExchanges::remove);
        openExchanges.add(exchange);
        handler.onConnected(exchange);
    }

    /** Refuses new connections from now on; open ones stay. */
    public void stopListening() {
        IoUtils.safeClose(acceptor);
        acceptor = null;
    }

    /**
     * Leaves new connections without an answer, as an unreachable machine does: the port stays open behind a full
     * accept queue, where Linux drops connection requests.
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

    /** Accepts connections again at the same address. */
    public void resumeListening() throws IOException {
        closeUnservedListener();
        if (acceptor == null) {
            listen();
        }
    }

    /** Closes every open connection with a TCP reset. */
    public void resetConnections() {
        Set.copyOf(openExchanges).forEach(HttpExchange::reset);
    }

    /** Stops listening and resets all connections; {@link #resumeListening} opens the server again. */
    @Override
    public void close() {
        stopListening();
        closeUnservedListener();
        resetConnections();
    }
}
