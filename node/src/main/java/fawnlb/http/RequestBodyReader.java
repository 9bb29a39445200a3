package fawnlb.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;

/**
 * Receives whole request bodies, up to the protocol's limit for each body and to a memory limit for all bodies
 * together.
 *
 * <p>Undertow's own receiver is not used, for two reasons. It allocates as many bytes as a client announces before it
 * checks its limit, which can end the process. It also skips chunks that can't be parsed.
 */
public final class RequestBodyReader {
    private final BodyMemoryBudget memory;

    /** Creates a reader whose bodies use at most the given number of bytes at a time. */
    public RequestBodyReader(long maxBufferedBytes) {
        memory = new BodyMemoryBudget(maxBufferedBytes);
    }

    /** Answers a request whose body could not be received. */
    @FunctionalInterface
    public interface RejectionHandler {
        /**
         * Sends an error response.
         *
         * @param status the response's status
         * @param text what is wrong, for the client
         */
        void reject(HttpServerExchange exchange, int status, String text);
    }

    /**
     * Receives the body of a request. Calls exactly one of the two handlers on the exchange's I/O thread, or neither if
     * the client disconnects first. The memory of the body is released when the exchange is complete.
     */
    public void receive(
            HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> onBody, RejectionHandler onRejected) {
        RequestBodyReceiver receiver = new RequestBodyReceiver(exchange, memory, onBody, onRejected);
        exchange.dispatch(SameThreadExecutor.INSTANCE, receiver::begin);
    }
}
