package fawnlb.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

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

    /** Whether each is serving; those idle for longest come first. */
    private final Map<StreamConnection, Boolean> open = new LinkedHashMap<>();
    private final int most;
    private volatile boolean draining;

    /** So many connections may be open; beyond that idle ones make room. */
    public Connections(int most) {
        this.most = most;
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
        synchronized (this) {
            if (open.size() >= most && !closeOneIdle() && open.size() >= most + SPARE) {
                IoUtils.safeClose(connection);
                return;
            }
            open.put(connection, false);
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
        boolean room;
        synchronized (this) {
            open.replace(connection, true);
            room = open.size() <= most || closeOneIdle();
        }
        if (!room) {
            exchange.setPersistent(false);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            idle(connection);
            next.proceed();
        });
        return room;
    }

    private synchronized void idle(StreamConnection connection) {
        if (open.remove(connection) != null) {
            open.put(connection, false);
        }
    }

    private boolean closeOneIdle() {
        for (Iterator<Map.Entry<StreamConnection, Boolean>> each = open.entrySet().iterator(); each.hasNext();) {
            Map.Entry<StreamConnection, Boolean> entry = each.next();
            if (!entry.getValue()) {
                each.remove();
                IoUtils.safeClose(entry.getKey());
                return true;
            }
        }
        return false;
    }

    /** From here on each connection closes with its answer. */
    public void drain() {
        draining = true;
    }

    /** Closes the idle ones; how many are still serving. */
    public int closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        int serving = 0;
        synchronized (this) {
            for (Map.Entry<StreamConnection, Boolean> entry : open.entrySet()) {
                if (entry.getValue()) {
                    serving++;
                } else {
                    idle.add(entry.getKey());
                }
            }
        }
        for (StreamConnection connection : idle) {
            // On its own thread, so that a request which is just being read is not cut off.
            connection.getIoThread().execute(() -> closeIfIdle(connection));
        }
        return serving;
    }

    private synchronized void closeIfIdle(StreamConnection connection) {
        if (Boolean.FALSE.equals(open.get(connection))) {
            IoUtils.safeClose(connection);
        }
    }
}
