package fawnlb.client;

import io.undertow.server.HttpServerExchange;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of the requests that are open at either front. Every request carries a new one; a second under the id of an
 * open one, from whomever, would be a second copy of it at the backends.
 */
public final class InFlightRequestIds {
    private final Set<String> ids = ConcurrentHashMap.newKeySet();

    /** Takes the id for as long as the exchange lasts; false if another has it. */
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
