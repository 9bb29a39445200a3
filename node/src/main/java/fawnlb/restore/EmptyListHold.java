package fawnlb.restore;

import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.filter.EndpointFilter;

/**
 * Holds back a whole list that names nobody, for as long as the operator says: a discovery that has just started may
 * not know its endpoints yet.
 */
final class EmptyListHold {
    private final long holdNanos;
    private long heldUntil = EndpointFilter.NEVER;
    private EndpointsUpdated heldUpdate;

    /** @param holdNanos how long a list is held; 0 for not at all */
    EmptyListHold(long holdNanos) {
        this.holdNanos = holdNanos;
    }

    boolean isEnabled() {
        return holdNanos > 0;
    }

    boolean isActive() {
        return heldUntil != EndpointFilter.NEVER;
    }

    long holdNanos() {
        return holdNanos;
    }

    /** Holds this list. One that comes while another is held takes its place, and does not extend the time. */
    void hold(long now, EndpointsUpdated update) {
        if (!isActive()) {
            heldUntil = now + holdNanos;
        }
        heldUpdate = update;
    }

    /** When the endpoint list is to be applied; {@link EndpointFilter#NEVER} if none is held. */
    long heldUntil() {
        return heldUntil;
    }

    /** The version of the endpoint list that is held. */
    long heldVersion() {
        return heldUpdate.version();
    }

    /** Forgets the endpoint list that is held. */
    void release() {
        heldUpdate = null;
        heldUntil = EndpointFilter.NEVER;
    }
}
