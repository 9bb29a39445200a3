package fawnlb.http;

import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import fawnlb.memory.MemoryBudget;
import fawnlb.memory.MemoryReservation;
import fawnlb.memory.MemoryUse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.xnio.StreamConnection;

/**
 * Receives whole request bodies, up to the protocol's limit for each body and within the memory budget for all bodies
 * together. When there is no room, the body that has been arriving for longest is rejected if it has had enough time.
 *
 * <p>Undertow's own receiver is not used, for two reasons. It allocates as many bytes as a client announces before it
 * checks its limit, which can end the process. It also skips chunks that can't be parsed.
 */
@EventLoopOnly
public final class RequestBodyReader {
    /** Clients that send without a pause need much less; one that takes longer can be asked to come back. */
    private static final long MIN_RECEIVING_NANOS = 500_000_000;

    private final MemoryBudget memory;
    private final Timers timers;
    /** The bodies that are being received, with the times at which they began; the first one began first. */
    private final Map<RequestBodyReceiver, Long> receivingSinceNanos = new LinkedHashMap<>();

    /** Creates a reader whose bodies are reserved in the given budget. */
    public RequestBodyReader(MemoryBudget memory, Timers timers) {
        this.memory = memory;
        this.timers = timers;
        memory.addReclaimer(() -> rejectSlowest(connection -> true));
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
     * the client disconnects first. The reference to the body is closed when the exchange is complete.
     */
    public void receive(
            HttpServerExchange exchange,
            BiConsumer<HttpServerExchange, BodyReference> onBody,
            RejectionHandler onRejected) {
        RequestBodyReceiver receiver = new RequestBodyReceiver(exchange, this, onBody, onRejected);
        exchange.dispatch(SameThreadExecutor.INSTANCE, receiver::begin);
    }

    /**
     * Keeps a translation of a request's body, and returns a reference that is closed when the exchange is complete.
     *
     * @throws InvalidRequestException with status 413 if it is larger than the protocol allows
     * @throws ResourceExhaustedException if there is no room for it
     */
    public BodyReference keep(HttpServerExchange exchange, byte[] copy)
            throws InvalidRequestException, ResourceExhaustedException {
        if (copy.length > RequestBodyReceiver.MAX_BODY_BYTES) {
            throw RequestBodyReceiver.bodyTooLarge();
        }
        MemoryReservation reservation = openReservation();
        if (!reservation.tryResize(copy.length)) {
            throw ResourceExhaustedException.noRoomForBody();
        }
        BodyReference reference = BodyReference.create(copy, reservation);
        closeOnCompletion(exchange, reference);
        return reference;
    }

    static void closeOnCompletion(HttpServerExchange exchange, BodyReference reference) {
        exchange.addExchangeCompleteListener((completed, next) -> {
            reference.close();
            next.proceed();
        });
    }

    MemoryReservation openReservation() {
        return memory.open(MemoryUse.REQUEST_BODIES);
    }

    /** Must be called when a body begins to be received. */
    void onReceiving(RequestBodyReceiver receiver) {
        receivingSinceNanos.put(receiver, timers.now());
    }

    /** Must be called when a body is no longer being received. */
    void onReceived(RequestBodyReceiver receiver) {
        receivingSinceNanos.remove(receiver);
    }

    /**
     * Rejects, among the requests on these connections, the one whose body has been arriving for longest.
     *
     * @return false if no body has had enough time
     */
    public boolean rejectSlowest(Predicate<StreamConnection> connections) {
        long startedBeforeNanos = timers.now() - MIN_RECEIVING_NANOS;
        for (Map.Entry<RequestBodyReceiver, Long> receiving : new ArrayList<>(receivingSinceNanos.entrySet())) {
            if (receiving.getValue() > startedBeforeNanos) {
                return false;
            }
            RequestBodyReceiver receiver = receiving.getKey();
            if (connections.test(receiver.clientConnection()) && receiver.rejectUnlessComplete()) {
                return true;
            }
        }
        return false;
    }
}
