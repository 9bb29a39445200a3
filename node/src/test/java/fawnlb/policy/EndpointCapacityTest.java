package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import org.junit.Before;
import org.junit.Test;

public class EndpointCapacityTest {
    private static final int ENDPOINTS = 8;
    private static final int ZONES = 1;
    private static final long BOUND = 10;
    private final EndpointTable table = new EndpointTable(0);
    private final OutlierDetector outliers = new OutlierDetector();
    private final SlowStart slowStart = new SlowStart(new EndpointLifecycle(S, 10 * S, 0.2, 10 * S, 3, S), () -> 0.5);
    private final LatencyTracker latency = new LatencyTracker();
    private final RolloutPredictor rollout = new RolloutPredictor();
    private final StreamPaceTracker pace = new StreamPaceTracker(table, 1);
    private final EndpointCapacity capacity = new EndpointCapacity(outliers, slowStart, latency, rollout, pace);
    private final ActiveRequest request = PolicyFixtures.request(7);

    /** Endpoints that started one after another, long ago. */
    @Before
    public void list() {
        PolicyFixtures.listReadyEndpoints(table, pace, ENDPOINTS, 1);
        table.ready().forEach(endpoint -> endpoint.startedAt = 1 + endpoint.id.ringSeed());
        pace.onReadyChanged(table.ready());
        rollout.onReadyChanged(table.ready());
    }

    private EndpointState endpoint(long id) {
        return table.ready().stream()
                .filter(e -> e.id.equals(EndpointId.ofNumber(id)))
                .findFirst()
                .orElseThrow();
    }

    private long limit(EndpointState endpoint) {
        return capacity.limit(endpoint, BOUND, request, NOW);
    }

    @Test
    public void ordinaryEndpointHasTheWholeBound() {
        assertTrue(capacity.isAvailable(endpoint(0), ZONES, NOW));
        assertEquals(BOUND, limit(endpoint(0)));
    }

    @Test
    public void ejectedEndpointIsNotAvailable() {
        outliers.onAttemptEnded(endpoint(0), AttemptOutcome.CONNECT_FAILED, false, NOW);
        assertFalse(capacity.isAvailable(endpoint(0), ZONES, NOW));
        assertTrue(capacity.isAvailable(endpoint(0), ZONES, NOW + S));
    }

    @Test
    public void endpointInSlowStartRestsAndHasPartOfTheBound() {
        slowStart.onRestart(endpoint(0), NOW, NOW, ENDPOINTS);
        assertFalse(capacity.isAvailable(endpoint(0), ZONES, NOW));
        assertTrue(capacity.isAvailable(endpoint(0), ZONES, NOW + 5 * S));
        assertEquals(2, limit(endpoint(0)));
    }

    @Test
    public void endpointWithoutRoomForMoreFirstTokensIsNotAvailable() {
        EndpointState endpoint = endpoint(0);
        endpoint.capacity = 2;
        latency.onAttemptStarted(endpoint, NOW);
        assertTrue(capacity.isAvailable(endpoint, ZONES, NOW));
        latency.onAttemptStarted(endpoint, NOW);
        assertFalse(capacity.isAvailable(endpoint, ZONES, NOW));
        latency.onSignOfLife(endpoint, NOW);
        assertTrue(capacity.isAvailable(endpoint, ZONES, NOW));
    }

    @Test
    public void endpointsThatARolloutReplacesNextHaveThreeTenths() {
        rollout.onDrain(NOW - S);
        rollout.onDrain(NOW);
        assertEquals(3, limit(endpoint(0)));
        assertEquals(BOUND, limit(endpoint(7)));
    }

    @Test
    public void rolloutTakesNothingAwayWhileStreamsAreSlow() {
        rollout.onDrain(NOW - S);
        rollout.onDrain(NOW);
        for (EndpointState endpoint : table.ready()) {
            for (int i = 0; i < 64; i++) {
                pace.record(endpoint, request, S);
            }
        }
        for (EndpointState endpoint : table.ready()) {
            for (int i = 0; i < 300; i++) {
                pace.record(endpoint, request, 2 * S);
            }
        }
        assertEquals(BOUND, limit(endpoint(0)));
    }

    @Test
    public void limitsMultiplyAndAreOneAtLeast() {
        slowStart.onRestart(endpoint(0), NOW, NOW, ENDPOINTS);
        latency.record(endpoint(1), S / 10);
        for (int i = 0; i < 100; i++) {
            latency.record(endpoint(0), 100 * S);
        }
        assertEquals(1, limit(endpoint(0)));
    }
}
