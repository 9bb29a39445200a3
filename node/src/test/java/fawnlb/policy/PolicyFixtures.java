package fawnlb.policy;

import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import java.util.List;
import java.util.stream.LongStream;

/** Requests and endpoints for the tests of single classes. */
final class PolicyFixtures {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;
    static final long NOW = 100 * S;

    /** First tokens are due within a second, idempotency keys are remembered for five. */
    static final RequestClass IDEMPOTENT = requestClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL);

    private PolicyFixtures() {}

    static RequestClass requestClass(Idempotency idempotency, IdempotencyScope scope) {
        return new RequestClass(idempotency, scope, 5 * S, S, 0, 4 * S, 0, 1, 0, true);
    }

    static RequestArrived arrival(long requestId, long sessionKey, long prefixKey) {
        return new RequestArrived(requestId, 0, 0, sessionKey, prefixKey, 4 * S, 0, 500, 100, 199, false, false, false);
    }

    /** A request of a session, without a prefix; its work is 700 tokens. */
    static ActiveRequest request(long sessionKey) {
        return request(sessionKey, 0);
    }

    static ActiveRequest request(long sessionKey, long prefixKey) {
        return new ActiveRequest(arrival(1, sessionKey, prefixKey), IDEMPOTENT, NOW);
    }

    static ActiveRequest request(RequestClass requestClass) {
        return new ActiveRequest(arrival(1, 7, 0), requestClass, NOW);
    }

    static ActiveRequest requestOfTenant(long sessionKey, int tenantIndex) {
        RequestArrived arrival =
                new RequestArrived(1, 0, tenantIndex, sessionKey, 0, 4 * S, 0, 500, 100, 199, false, false, false);
        return new ActiveRequest(arrival, IDEMPOTENT, NOW);
    }

    static EndpointState endpoint(long id, int zone, int cell) {
        EndpointState endpoint = new EndpointState(EndpointId.ofNumber(id));
        endpoint.phase = EndpointPhase.READY;
        endpoint.zone = zone;
        endpoint.cell = cell;
        return endpoint;
    }

    static EndpointState endpoint(long id) {
        return endpoint(id, 0, 0);
    }

    /** Lists endpoints 0 to {@code count - 1}, all ready and in one zone, with as many kinds in turn as given. */
    static void listReadyEndpoints(EndpointTable table, StreamPaceTracker pace, int count, int kinds) {
        List<Endpoint> endpoints = LongStream.range(0, count)
                .mapToObj(id ->
                        new Endpoint(EndpointId.ofNumber(id), EndpointPhase.READY, 0, 1, 0, 0, (int) (id % kinds)))
                .toList();
        table.update(
                new EndpointsUpdated(EndpointUpdateKind.FULL, 1, endpoints),
                (known, listed) -> pace.onListed(known, listed.kind()));
        table.recount();
    }
}
