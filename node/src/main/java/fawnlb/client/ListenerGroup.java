package fawnlb.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;

/** The sockets on which a node accepts its clients. */
public final class ListenerGroup {
    private final List<Listener> listeners = new ArrayList<>();

    public void add(Listener listener) {
        listeners.add(listener);
    }

    /** Where they listen, in the order in which they were added. */
    public InetSocketAddress addressAt(int index) {
        return listeners.get(index).address();
    }

    /**
     * Accepts whoever has connected and then nobody any more; returns when all sockets are closed and who was accepted
     * has been handed on.
     *
     * @param ioThread runs tasks on the I/O thread
     */
    public void closeGracefully(Executor ioThread) throws InterruptedException {
        CountDownLatch openListeners = new CountDownLatch(listeners.size());
        for (Listener listener : listeners) {
            ioThread.execute(() -> listener.closeGracefully(openListeners::countDown));
        }
        openListeners.await();
    }

    /** Closes over whoever waits to be accepted. */
    public void closeNow() {
        listeners.forEach(Listener::close);
    }
}
