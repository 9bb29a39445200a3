package fawnlb.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;

/** All listeners of this process. Belongs to the thread that starts and stops the server. */
public final class ListenerGroup {
    private final List<Listener> listeners = new ArrayList<>();

    /** Adds a started listener. */
    public void add(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Accepts the connections that wait in the accept queues, and closes the sockets. Returns when all sockets are
     * closed and all accepted connections were passed to their handlers.
     *
     * @param ioThread runs tasks on the I/O thread of the listeners
     */
    public void closeGracefully(Executor ioThread) throws InterruptedException {
        CountDownLatch openListeners = new CountDownLatch(listeners.size());
        for (Listener listener : listeners) {
            ioThread.execute(() -> listener.closeGracefully(openListeners::countDown));
        }
        openListeners.await();
    }

    /** Closes all sockets at once. Connections that wait in the accept queues are reset. */
    public void closeNow() {
        listeners.forEach(Listener::close);
    }
}
