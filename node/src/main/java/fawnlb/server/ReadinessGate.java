package fawnlb.server;

import fawnlb.decision.EndpointUpdateKind;
import fawnlb.eventloop.EventLoopOnly;
import fawnlb.eventloop.ThreadSafe;
import fawnlb.eventloop.Timers;
import fawnlb.platform.Readiness;
import fawnlb.restore.RestoredEndpointFilter;

/**
 * Decides whether the server is ready for requests. It is ready once discovery has answered or failed, since until then
 * it does not know where to forward a request, and other instances do. It stops being ready when its graceful shutdown
 * begins.
 */
@ThreadSafe
final class ReadinessGate {
    private final Timers timers;
    private final long createdAtNanos;
    private volatile boolean endpointsKnown;
    private volatile boolean draining;

    ReadinessGate(Timers timers) {
        this.timers = timers;
        this.createdAtNanos = timers.now();
    }

    /**
     * Takes note of an update from discovery. The cached list says nothing of discovery. A throttled call opens the
     * gate only after a while: discovery is up, and what it answers the next call already holds for this server.
     */
    @EventLoopOnly
    void onDiscoveryUpdate(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.THROTTLED) {
            long waitEndNanos = createdAtNanos + RestoredEndpointFilter.MAX_THROTTLED_WAIT_NANOS;
            timers.schedule(Math.max(0, waitEndNanos - timers.now()), this::onEndpointsKnown);
        } else if (kind != EndpointUpdateKind.CACHED) {
            onEndpointsKnown();
        }
    }

    /** Opens the gate: the server knows its endpoints, or knows that discovery cannot name them. */
    void onEndpointsKnown() {
        endpointsKnown = true;
    }

    /** Closes the gate for good. */
    void beginGracefulShutdown() {
        draining = true;
    }

    Readiness readiness() {
        if (draining) {
            return Readiness.DRAINING;
        }
        return endpointsKnown ? Readiness.READY : Readiness.WAITING_FOR_DISCOVERY;
    }
}
