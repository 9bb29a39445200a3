package fawnlb.client;

import fawnlb.actor.Timers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The client connections of a node from their accept on, and whether each is serving a request. Beyond a limit
 * those go that have been idle for longest: a client that connects by hundreds and stays silent must not keep
 * out those who ask. At a planned end an idle one must be closed before the process ends: a request written to
 * it a moment later would be lost with the process, while one that meets a closed connection is sent again
 * elsewhere.
 */
public final class Connections {
    /** Connections over the limit, kept only to be told so. */
    private static final int SPARE = 12;

    private static final long SERVING = Long.MAX_VALUE;
    private static final long LEAST_PAUSE = 20_000_000;

    /** Since when each has been idle, or {@link #SERVING}; those idle for longest come first. */
    private final Map<StreamConnection, Long> open = new LinkedHashMap<>();
    private final int most;
    private final long patience;
    private final Timers timers;
    private volatile boolean draining;
    private boolean looking;

    /** So many connections may be open; beyond that idle ones make room. Patience: how long one may be idle, in nanoseconds. */
    public Connections(int most, long patience, Timers timers) {
        this.most = most;
        this.patience = patience;
        this.timers = timers;
        timers.after(patience, this::retire);
    }

    /**
     * Closes those that have been idle for too long. Undertow's own timer would close upon a request that lies unread on a
     * busy processor.
     */
    private void retire() {
        long now = timers.now();
        StreamConnection eldest = eldestIdle();
        while (eldest != null && now - since(eldest) >= patience) {
            closeUnlessAsked(eldest);
            eldest = eldestIdle();
        }
        long left = eldest == null ? patience : since(eldest) + patience - now;
        timers.after(Math.max(LEAST_PAUSE, left), this::retire);
    }

    /**
     * So many may be accepted at a time, those over the limit included. Another thread accepts than the one that makes
     * room, and in a burst it would use up the descriptors of the process before the first of them is seen here.
     */
    public int mostAccepted() {
        return most + SPARE;
    }

    /** Takes a new connection and hands it to whoever reads it. */
    public void accept(StreamConnection connection, ChannelListener<? super StreamConnection> reader) {
        if (size() >= most && !closeOneIdle() && size() >= most + SPARE) {
            IoUtils.safeClose(connection);
            return;
        }
        synchronized (this) {
            open.put(connection, timers.now());
        }
        reader.handleEvent(connection);
        ChannelListener<? super StreamConnection> readers = connection.getCloseListener();
        connection.setCloseListener(c -> {
            closed(connection);
            ChannelListeners.invokeChannelListener(connection, readers);
        });
        if (!connection.isOpen()) {
            closed(connection);
        }
    }

    private synchronized void closed(StreamConnection connection) {
        open.remove(connection);
    }

    /**
     * Told of each request at its start; false if there is no room for its connection, and it must be refused.
     * A connection left waiting to be accepted would be worse: its request counts as taken and gets no answer.
     */
    public boolean serving(HttpServerExchange exchange) {
        StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
        synchronized (this) {
            open.replace(connection, SERVING);
        }
        boolean room = size() <= most || closeOneIdle();
        if (!room) {
            exchange.setPersistent(false);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            if (((HttpServerConnection) done.getConnection()).getExtraBytes() == null) {
                idle(connection);
                next.proceed();
            } else {
                // The next request came early.
                afterOthers(connection, next::proceed);
            }
        });
        return room;
    }

    /**
     * Lets the I/O thread look at all sockets before it goes on with this connection, whose client takes what it got. Undertow
     * would queue the next request as a task, and XNIO looks at no socket and no timer while tasks are left: 600 requests
     * sent at once kept lists and streams waiting for over a second.
     */
    private static void afterOthers(StreamConnection connection, Runnable next) {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        sink.setWriteListener(c -> {
            sink.suspendWrites();
            sink.setWriteListener(null);
            next.run();
        });
        sink.resumeWrites();
    }

    private synchronized void idle(StreamConnection connection) {
        if (open.remove(connection) != null) {
            open.put(connection, timers.now());
        }
    }

    /** False if there is none, or if this is just being done: a request that was found by it needs no second look. */
    private boolean closeOneIdle() {
        if (looking) {
            return false;
        }
        looking = true;
        try {
            // Each look closes the eldest, or finds that another is the eldest now.
            for (int looks = size(); looks > 0; looks--) {
                StreamConnection eldest = eldestIdle();
                if (eldest == null || closeUnlessAsked(eldest)) {
                    return eldest != null;
                }
            }
            return false;
        } finally {
            looking = false;
        }
    }

    /** The one that has been idle for longest, null if none is. */
    private synchronized StreamConnection eldestIdle() {
        for (Map.Entry<StreamConnection, Long> entry : open.entrySet()) {
            if (entry.getValue() != SERVING) {
                return entry.getKey();
            }
        }
        return null;
    }

    /** Since when it has been idle, {@link #SERVING} if it is not; also if it is closed. */
    private synchronized long since(StreamConnection connection) {
        return open.getOrDefault(connection, SERVING);
    }

    /**
     * Closes an idle connection, unless its request has come and was not read yet: on a busy processor one can lie there for
     * half a second, and the client that wrote it is owed an answer. False if it has.
     */
    private boolean closeUnlessAsked(StreamConnection connection) {
        long before = since(connection);
        if (before == SERVING) {
            return false;
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (connection.isOpen() && since(connection) != before) {
            return false;
        }
        closed(connection);
        IoUtils.safeClose(connection);
        return true;
    }

    /** From here on each connection closes with its answer. */
    public void drain() {
        draining = true;
    }

    /** Closes the idle ones; how many are still serving. To be called on the thread that reads them. */
    public int closeIdle() {
        List<StreamConnection> all;
        synchronized (this) {
            all = new ArrayList<>(open.keySet());
        }
        all.forEach(this::closeUnlessAsked);
        return size();
    }

    private synchronized int size() {
        return open.size();
    }
}
