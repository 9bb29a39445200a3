package fawnlb.client;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.function.BiConsumer;

/** Receives a request's whole body, up to the protocol's limit. */
public final class BodyReader {
    private static final int LARGEST_BODY = 256 * 1024;

    private BodyReader() { }

    /** Hands the body on, or a status and a text on why it could not be had. */
    public static void receive(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> taken, Refusal refused) {
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
