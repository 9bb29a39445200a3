package fawnlb.client;

import fawnlb.eventloop.ThreadSafe;
import io.undertow.server.HttpServerExchange;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of the requests that are in flight on any listener. Every request has a new id, so a second request with the
 * id of one in flight would be run twice by the backends.
 */
@ThreadSafe
public final class InFlightRequestIds {
    private final Set<String> ids = ConcurrentHashMap.newKeySet();

    /**
     * Registers an id until the exchange is complete.
     *
     * @return false, with nothing registered, if a request with this id is in flight
     */
    public boolean tryRegister(String id, HttpServerExchange exchange) {
        if (!ids.add(id)) {
            return false;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            ids.remove(id);
            next.proceed();
        });
        return true;
    }
}
