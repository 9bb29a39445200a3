package fawnlb.restore;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;

/**
 * One endpoint that was restored from a snapshot: its state, and how many requests it may have waiting. Times are
 * nanoseconds on the instance's clock. It belongs to the thread of its {@link RestoredEndpointFilter}.
 */
final class RestoredEndpoint {
    /** An endpoint of at least this weight may have its whole limit at once; others earn it with their responses. */
    private static final double FRESH_WEIGHT = 0.9;

    private final Endpoint endpoint;
    private final double weight;
    private final long tieBreaker;
    private final RestoreSettings settings;
    private final EjectionBackoff ejectionBackoff;
    private RestoredEndpointState state = RestoredEndpointState.RESTORED;
    private int responses;
    private int consecutiveFailures;
    private long firstResponseAt;
    private long ejectedUntil;
    private int publishedLimit;

    /**
     * Creates an endpoint that has not been tried.
     *
     * @param weight the estimated probability that the endpoint is still there
     * @param tieBreaker the order among endpoints of equal weight
     */
    RestoredEndpoint(Endpoint endpoint, double weight, long tieBreaker, RestoreSettings settings) {
        this.endpoint = endpoint;
        this.weight = weight;
        this.tieBreaker = tieBreaker;
        this.settings = settings;
        this.ejectionBackoff = new EjectionBackoff(settings.baseEjectionNanos(), settings.maxEjectionNanos());
    }

    Endpoint endpoint() {
        return endpoint;
    }

    double weight() {
        return weight;
    }

    long tieBreaker() {
        return tieBreaker;
    }

    RestoredEndpointState state() {
        return state;
    }

    /** Lets requests be sent to an endpoint that was not tried yet. */
    void startTrial() {
        moveTo(RestoredEndpointState.HALF_OPEN);
    }

    /** Whether it is on trial and has not responded since it was last ejected. */
    boolean isAwaitingFirstResponse() {
        return state == RestoredEndpointState.HALF_OPEN && responses == 0;
    }

    /** A response has started. It ends an ejection too: the request may have been sent before the ejection began. */
    void onResponse(long now) {
        if (state == RestoredEndpointState.HEALTHY) {
            return;
        }
        moveTo(RestoredEndpointState.HALF_OPEN);
        consecutiveFailures = 0;
        firstResponseAt = responses == 0 ? now : firstResponseAt;
        responses++;
    }

    /** An attempt has ended; a failure ejects the endpoint. */
    void onAttemptEnded(long now, AttemptOutcome outcome) {
        if (isFailure(outcome) && state != RestoredEndpointState.EJECTED) {
            moveTo(RestoredEndpointState.EJECTED);
            ejectedUntil = now + ejectionBackoff.ejectionNanos(consecutiveFailures);
            consecutiveFailures++;
            responses = 0;
        }
    }

    /**
     * A healthy endpoint's faults are the load balancer's to judge; only one that refuses connects may come back in
     * slow start.
     */
    private boolean isFailure(AttemptOutcome outcome) {
        return switch (outcome) {
            case CONNECT_FAILED -> true;
            case ERROR, RESET, TIMEOUT, FULL, STALLED -> state != RestoredEndpointState.HEALTHY;
            case SERVED, CANCELLED, NEVER_SENT -> false;
        };
    }

    /** Ends an ejection, or a trial that was passed, if its time has come. */
    void advance(long now) {
        if (now < nextTransitionAt()) {
            return;
        }
        moveTo(
                state == RestoredEndpointState.EJECTED
                        ? RestoredEndpointState.HALF_OPEN
                        : RestoredEndpointState.HEALTHY);
    }

    /** When {@link #advance} changes the state; {@link Long#MAX_VALUE} if only an event can. */
    long nextTransitionAt() {
        if (state == RestoredEndpointState.EJECTED) {
            return ejectedUntil;
        }
        boolean passed = state == RestoredEndpointState.HALF_OPEN && responses >= settings.requiredResponses();
        return passed ? firstResponseAt + settings.warmUpNanos() : Long.MAX_VALUE;
    }

    /** Whether the limit has changed since {@link #publish}. */
    boolean hasUnpublishedLimit() {
        return publishedLimit != pendingLimit();
    }

    /** The endpoint as the load balancer is to see it, with its present limit. */
    Endpoint publish() {
        publishedLimit = pendingLimit();
        return endpoint.withCapacity(publishedLimit);
    }

    /** How many of this instance's requests may wait for their first token at the endpoint. */
    private int pendingLimit() {
        return switch (state) {
            case RESTORED, EJECTED -> 0;
            case HALF_OPEN -> trialLimit();
            case HEALTHY -> Endpoint.UNLIMITED_CAPACITY;
        };
    }

    private int trialLimit() {
        int limit = settings.instancePendingLimit();
        return weight >= FRESH_WEIGHT && consecutiveFailures == 0 ? limit : Math.min(limit, 1 + responses);
    }

    private void moveTo(RestoredEndpointState next) {
        if (next == state) {
            return;
        }
        if (!state.canBecome(next)) {
            throw new IllegalStateException("restored endpoint " + endpoint.id() + ": " + state + " to " + next);
        }
        state = next;
    }
}
