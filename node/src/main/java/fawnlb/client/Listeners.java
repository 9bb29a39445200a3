package fawnlb.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;

/** The sockets on which a node accepts its clients. */
public final class Listeners {
    private final List<Listener> listeners = new ArrayList<>();

    public void add(Listener listener) {
        listeners.add(listener);
    }

    /** Where they listen, in the order in which they were added. */
    public InetSocketAddress address(int which) {
        return listeners.get(which).address();
    }

    /**
     * Accepts whoever has connected and then nobody any more; returns when all sockets are closed and who was accepted
     * has been handed on.
     *
     * @param thread runs tasks on the I/O thread
     */
    public void close(Executor thread) throws InterruptedException {
        CountDownLatch open = new CountDownLatch(listeners.size());
        for (Listener listener : listeners) {
            thread.execute(() -> listener.closeWhenNobodyWaits(open::countDown));
        }
        open.await();
    }

    /** Closes over whoever waits to be accepted. */
    public void closeNow() {
        listeners.forEach(Listener::close);
    }
}
