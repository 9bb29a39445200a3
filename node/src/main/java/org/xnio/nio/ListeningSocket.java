package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A listening socket on an I/O thread, and the connections accepted from it.
 *
 * <p>XNIO's own server accepts on a thread of its own, and after a failed accept it waits for 250 ms, then 1 s, 4 s and
 * longer; neither can be set. It has no public way to make a {@link StreamConnection} of an accepted socket, so this
 * class stands in its package. It holds no policy: when to accept is up to {@code fawnlb.client.Listener}. All methods
 * belong to the I/O thread, but for {@link #register}.
 */
public final class ListeningSocket extends NioHandle {
    private final ServerSocketChannel channel;
    private final Runnable onAcceptable;

    private ListeningSocket(WorkerThread thread, SelectionKey key, ServerSocketChannel channel, Runnable onAcceptable) {
        super(thread, key);
        this.channel = channel;
        this.onAcceptable = onAcceptable;
    }

    /**
     * Hands a bound, non-blocking channel to an I/O thread; it is not listened to before {@link #resumeAccepts}.
     *
     * @param onAcceptable runs on the I/O thread whenever somebody waits to be accepted and accepts are resumed
     */
    public static ListeningSocket register(XnioIoThread thread, ServerSocketChannel channel, Runnable onAcceptable)
            throws IOException {
        WorkerThread worker = (WorkerThread) thread;
        SelectionKey key = worker.registerChannel(channel);
        ListeningSocket socket = new ListeningSocket(worker, key, channel, onAcceptable);
        key.attach(socket);
        return socket;
    }

    /** From here on the I/O thread says when somebody waits. */
    public void resumeAccepts() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** Whoever connects waits in the kernel's queue. */
    public void suspendAccepts() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    /** Takes the socket off the I/O thread. It stays registered until the thread has looked at its sockets again. */
    public void deregister() {
        getSelectionKey().cancel();
    }

    /**
     * Makes a connection of the I/O thread's of an accepted, non-blocking socket.
     *
     * @param onClosed runs once when the connection has closed
     */
    public StreamConnection openConnection(SocketChannel accepted, Runnable onClosed) throws IOException {
        SelectionKey key = getWorkerThread().registerChannel(accepted);
        NioSocketStreamConnection connection = new NioSocketStreamConnection(getWorkerThread(), key, onClosed::run);
        key.attach(connection.getConduit());
        return connection;
    }

    @Override
    void handleReady(int operations) {
        onAcceptable.run();
    }

    @Override
    void forceTermination() {
        IoUtils.safeClose(channel);
    }

    @Override
    void terminated() {
        // Nobody waits for it.
    }
}
