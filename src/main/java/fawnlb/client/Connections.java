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
    private volatile boolean draining;

    /** Told of each request at its start. */
    public void serving(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (busy.put(connection, true) == null) {
            connection.addCloseListener(busy::remove);
        }
        if (draining) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            busy.replace(connection, false);
            next.proceed();
        });
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
