package fawnlb.policy;

import fawnlb.decision.Endpoint;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerSettings.RequestClass;

/**
 * Decides where a request may be run again, and how it may be answered, after an attempt that may have taken effect.
 */
final class IdempotencyRules {
    private IdempotencyRules() {}

    /**
     * Whether the request may run on this endpoint. Where a connection broke, the process may have gone, and the one
     * that has come up at its address may be of another zone or cell.
     */
    static boolean permits(ActiveRequest request, EndpointState endpoint, long now) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Attempt first = request.firstThatMayHaveRun();
        if (first == null) {
            return true;
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return false;
        }
        boolean isKeyInWindow = now - first.startedAt < requestClass.idempotencyWindowNanos();
        return isKeyInWindow
                && sharesKeys(first, endpoint, requestClass)
                && (requestClass.idempotencyScope() == IdempotencyScope.ALL || !request.lostConnectionTo(endpoint.id));
    }

    /** Whether an endpoint drops repeats of a request that has run at the endpoint of this attempt. */
    private static boolean sharesKeys(Attempt first, EndpointState endpoint, RequestClass requestClass) {
        boolean isSameEndpoint =
                first.endpoint == endpoint && first.zone == endpoint.zone && first.cell == endpoint.cell;
        return switch (requestClass.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> isSameEndpoint || isSameGroup(first.zone, endpoint.zone);
            case CELL ->
                isSameEndpoint || isSameGroup(first.zone, endpoint.zone) && isSameGroup(first.cell, endpoint.cell);
        };
    }

    /** An endpoint whose zone or cell is not known shares it with no other. */
    private static boolean isSameGroup(int first, int other) {
        return first == other && first != Endpoint.UNKNOWN;
    }

    /** Whether the request may be rejected, which tells its client that it may send it again. */
    static boolean mayReject(ActiveRequest request) {
        return request.requestClass.isRejectable(request.firstThatMayHaveRun() != null);
    }
}
