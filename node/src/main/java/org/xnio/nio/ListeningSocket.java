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
 * <p>XNIO's own server accepts on a thread of its own. After a failed accept it waits for 250 ms, then 1 s, 4 s and
 * longer, and neither the thread nor the delays can be configured. XNIO has no public way to create a
 * {@link StreamConnection} from an accepted socket, so this class is in XNIO's package. When to accept is decided by
 * {@code fawnlb.client.Listener}.
 *
 * <p>All methods but {@link #register} must be called on the I/O thread.
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
     * Registers a bound, non-blocking channel with an I/O thread. No connection is accepted before
     * {@link #resumeAccepts}. May be called on any thread.
     *
     * @param onAcceptable runs on the I/O thread while a connection waits in the accept queue, unless accepts are
     *     suspended
     */
    public static ListeningSocket register(XnioIoThread thread, ServerSocketChannel channel, Runnable onAcceptable)
            throws IOException {
        WorkerThread worker = (WorkerThread) thread;
        SelectionKey key = worker.registerChannel(channel);
        ListeningSocket socket = new ListeningSocket(worker, key, channel, onAcceptable);
        key.attach(socket);
        return socket;
    }

    /** Starts to report connections that wait in the accept queue. */
    public void resumeAccepts() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** Stops to report them. New connections wait in the accept queue. */
    public void suspendAccepts() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    /** Removes the socket from the I/O thread. It stays registered until the thread's next poll of its sockets. */
    public void deregister() {
        getSelectionKey().cancel();
    }

    /** Creates a connection on the I/O thread from an accepted, non-blocking socket. */
    public StreamConnection openConnection(SocketChannel accepted) throws IOException {
        SelectionKey key = getWorkerThread().registerChannel(accepted);
        NioSocketStreamConnection connection = new NioSocketStreamConnection(getWorkerThread(), key, null);
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
        // Nothing waits for the end of a listening socket.
    }
}
