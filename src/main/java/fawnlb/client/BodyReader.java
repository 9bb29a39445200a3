package fawnlb.client;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/** Receives requests' whole bodies, up to the protocol's limit for each and to a limit of memory for all. */
public final class BodyReader {
    private static final int LARGEST_BODY = 256 * 1024;
    /** Every client at once with the largest body would be more than the heap. */
    private static final long MOST_HELD = 16L << 20;

    private final AtomicLong room = new AtomicLong(MOST_HELD);

    /** Hands the body on, or a status and a text on why it could not be had. */
    public void receive(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> taken, Refusal refused) {
        long length = exchange.getRequestContentLength();
        long held = length < 0 ? LARGEST_BODY : Math.min(length, LARGEST_BODY);
        if (room.addAndGet(-held) < 0) {
            room.addAndGet(held);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            refused.refuse(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no room for the body; try again later");
            return;
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            room.addAndGet(held);
            next.proceed();
        });
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(LARGEST_BODY);
        receiver.receiveFullBytes((e, body) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> taken.accept(e, body)),
                (e, error) -> {
                    e.setPersistent(false);
                    if (error instanceof Receiver.RequestToLargeException) {
                        refused.refuse(e, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is over 256 KiB");
                    } else {
                        refused.refuse(e, StatusCodes.BAD_REQUEST, "the body could not be read");
                    }
                });
    }

    /** Answers a request that goes no further. */
    @FunctionalInterface
    public interface Refusal {
        void refuse(HttpServerExchange exchange, int status, String text);
    }
}
