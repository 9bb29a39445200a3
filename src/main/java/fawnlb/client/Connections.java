package fawnlb.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * The client connections of a node, and whether each is serving a request. At a planned end an idle one must
 * be closed before the process ends: a request written to it a moment later would be lost with the process,
 * while one that meets a closed connection is sent again elsewhere.
 */
public final class Connections {
    private final Map<ServerConnection, Boolean> busy = new ConcurrentHashMap<>();
    private final int most;
    private volatile boolean draining;

    /** So many connections may be open; beyond that idle ones make room. */
    public Connections(int most) {
        this.most = most;
    }

    /**
     * Told of each request at its start; false if there is no room for its connection, and it must be refused.
     * A connection left waiting to be accepted would be worse: its request counts as taken and gets no answer.
     */
    public boolean serving(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (busy.put(connection, true) == null) {
            connection.addCloseListener(busy::remove);
        }
        boolean room = busy.size() <= most || closeOneIdle();
        if (!room) {
            exchange.setPersistent(false);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            busy.replace(connection, false);
            next.proceed();
        });
        return room;
    }

    private boolean closeOneIdle() {
        for (Map.Entry<ServerConnection, Boolean> entry : busy.entrySet()) {
            if (!entry.getValue()) {
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
        int serving = 0;
        for (Map.Entry<ServerConnection, Boolean> entry : busy.entrySet()) {
            if (entry.getValue()) {
                serving++;
            } else {
                ServerConnection connection = entry.getKey();
                // On its own thread, so that a request which is just being read is not cut off.
                connection.getIoThread().execute(() -> {
                    if (Boolean.FALSE.equals(busy.get(connection))) {
                        IoUtils.safeClose(connection);
                    }
                });
            }
        }
        return serving;
    }
}
