package fawnlb.client;

import fawnlb.decision.Idempotency;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.Timers;
import io.undertow.server.HttpServerExchange;
import java.util.HashMap;
import java.util.Map;

/**
 * The ids of the requests that are in flight on any listener, and of recent ones that must not run again. Every request
 * has a new id, so a second request with an id in flight would be run twice by the backends. So would one whose client
 * left while a backend had it, and one of a class that must not run twice, whatever its client got.
 */
@EventLoopOnly
public final class RequestIds {
    private final LoadBalancerSettings settings;
    private final RecentRequestIds ended;
    private final Map<String, Registration> inFlight = new HashMap<>();
    /** Creates a registry without ids. */
    public RequestIds(LoadBalancerSettings settings, Timers timers) {
        this.settings = settings;
        this.ended = new RecentRequestIds(timers);
    }

    /** The id of one request, from its arrival until the request has ended for its client and at the backends. */
    public final class Registration {
        private final String id;
        private final boolean isIdempotent;
        private boolean isSubmitted;
        private boolean isExchangeComplete;
        private boolean hasRequestEnded;
        private boolean mayHaveRun;
        private ClientOutcome outcome = ClientOutcome.CLIENT_DISCONNECTED;

        private Registration(String id, boolean isIdempotent) {
            this.id = id;
            this.isIdempotent = isIdempotent;
        }

        /** The proxy has taken the request, and will report its end. */
        void onSubmitted() {
            isSubmitted = true;
        }

        /** The client has its answer, or has left. */
        void onClientOutcome(ClientOutcome clientOutcome) {
            outcome = clientOutcome;
        }

        /** The request has its final answer, and no attempt is active. */
        void onRequestEnded(boolean anAttemptMayHaveRun) {
            hasRequestEnded = true;
            mayHaveRun = anAttemptMayHaveRun;
            endIfComplete();
        }

        private void onExchangeComplete() {
            isExchangeComplete = true;
            endIfComplete();
        }

        private void endIfComplete() {
            if (!isExchangeComplete || isSubmitted && !hasRequestEnded) {
                return;
            }
            inFlight.remove(id, this);
            if (mayHaveRun && (!isIdempotent || outcome == ClientOutcome.CLIENT_DISCONNECTED)) {
                ended.add(id);
            }
        }
    }

    /**
     * Registers the id of a request that has arrived.
     *
     * @param classIndex the request's class by its place in the settings
     * @return null, with nothing registered, if a request with this id is in flight or must not run again
     */
    public Registration tryRegister(String id, int classIndex, HttpServerExchange exchange) {
        if (inFlight.containsKey(id) || ended.contains(id)) {
            return null;
        }
        boolean isIdempotent = settings.requestClass(classIndex).idempotency() == Idempotency.IDEMPOTENT;
        Registration registration = new Registration(id, isIdempotent);
        inFlight.put(id, registration);
        exchange.addExchangeCompleteListener((completed, next) -> {
            registration.onExchangeComplete();
            next.proceed();
        });
        return registration;
    }
}
