package fawnlb.proxy;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.ThreadSafe;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The admitted requests that have no final answer yet or an attempt that has not ended, by the id that the load
 * balancer knows.
 */
@EventLoopOnly
final class OpenRequests {
    private final Map<Long, ProxiedRequest> byId = new HashMap<>();
    private long lastId;
    private volatile int size;

    /** Gives the request the next id, counted from 1, and keeps it. */
    void admit(ProxiedRequest request) {
        request.admit(++lastId);
        byId.put(request.id(), request);
        size = byId.size();
    }

    /** The request with this id, {@code null} if it is no longer open. */
    ProxiedRequest find(long id) {
        return byId.get(id);
    }

    /** Those whose client has no answer yet. */
    List<ProxiedRequest> unanswered() {
        return byId.values().stream().filter(request -> !request.isAnswered()).toList();
    }

    /** Removes the request if it is answered and its last attempt has ended. */
    void removeIfFinished(ProxiedRequest request) {
        if (request.state() == RequestState.ANSWERED) {
            byId.remove(request.id());
            size = byId.size();
        }
    }

    /** How many requests are open. */
    @ThreadSafe
    int size() {
        return size;
    }
}
