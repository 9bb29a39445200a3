package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.junit.Before;
import org.junit.Test;

/** What the load balancer holds after many endpoints, sessions and prefixes have come and gone. */
public class StateRetentionTest {
    private static final int LIVE_ENDPOINTS = 10;
    private static final int ROUNDS = 4000;
    private static final int MAX_RECENT_REQUESTS =
            HotKeySpreader.RECENT_REQUESTS_PER_ENDPOINT * HotKeySpreader.MIN_ENDPOINTS_FOR_RECENT_REQUESTS;
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.SERVED,
        AttemptOutcome.RESET,
        AttemptOutcome.ERROR,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.SERVED
    };

    private final LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(LIVE_ENDPOINTS);
    private final Map<Long, Integer> attemptsOfRequest = new HashMap<>();

    private static Object field(Object holder, String name) throws ReflectiveOperationException {
        Field field = holder.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(holder);
    }

    private static int sizeOf(Object holder, String name) throws ReflectiveOperationException {
        Object value = field(holder, name);
        return value instanceof Map<?, ?> map
                ? map.size()
                : value instanceof Collection<?> all ? all.size() : Array.getLength(value);
    }

    @Before
    public void playManyRounds() {
        for (int round = 0; round < ROUNDS; round++) {
            harness.now += 60 * LoadBalancerHarness.MS;
            replaceOldestEndpoint(round);
            harness.arrive(1_000_000 + round / 50, 9_000_000L + round);
            endStartedAttempts(round);
            harness.actions.clear();
        }
        // Requests that are still queued are rejected when their time is up.
        harness.now += 10 * LoadBalancerHarness.S;
        harness.loadBalancer.onEvent(harness.now, new TimerFired(1));
    }

    private void replaceOldestEndpoint(int round) {
        int zone = round % 3;
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA,
                LoadBalancerHarness.endpoint(1 + round, EndpointPhase.GONE, 0, zone),
                LoadBalancerHarness.endpoint(LIVE_ENDPOINTS + 1 + round, EndpointPhase.READY, harness.now, zone));
    }

    /** Ends attempts, also those of requests that were queued in earlier rounds, and the retries that follow. */
    private void endStartedAttempts(int round) {
        for (int seen = 0; seen < harness.startedAttempts().size(); seen++) {
            StartAttempt started = harness.startedAttempts().get(seen);
            int attempt = attemptsOfRequest.merge(started.requestId(), 1, Integer::sum) - 1;
            AttemptOutcome outcome =
                    attempt < 3 ? OUTCOMES[(round + attempt) % OUTCOMES.length] : AttemptOutcome.SERVED;
            if (outcome == AttemptOutcome.SERVED) {
                harness.startResponse(started, attempt, 50 * LoadBalancerHarness.MS);
            }
            harness.endAttempt(started, attempt, outcome, outcome == AttemptOutcome.SERVED);
        }
    }

    @Test
    public void departedEndpointsAreForgotten() throws ReflectiveOperationException {
        Object endpoints = field(harness.loadBalancer, "endpoints");
        assertEquals(LIVE_ENDPOINTS, sizeOf(endpoints, "byId"));
        HashRing<?> ring = (HashRing<?>) field(endpoints, "ring");
        assertEquals(LIVE_ENDPOINTS * HashRing.POINTS_PER_ENDPOINT, ring.size());
        assertTrue(sizeOf(ring, "points") <= 2 * LIVE_ENDPOINTS * HashRing.POINTS_PER_ENDPOINT);
        assertTrue("numbers of departed endpoints are reused", sizeOf(ring, "endpoints") <= LIVE_ENDPOINTS + 2);
        assertTrue(
                "slow starts of 9 s", sizeOf(field(harness.loadBalancer, "slowStart"), "endpoints") <= 9000 / 60 + 2);
    }

    @Test
    public void finishedRequestsAreForgotten() throws ReflectiveOperationException {
        assertEquals(0, sizeOf(harness.loadBalancer, "requests"));
        assertEquals(0, sizeOf(field(harness.loadBalancer, "pending"), "requests"));
    }

    @Test
    public void recentKeysAreLimited() throws ReflectiveOperationException {
        RecentKeys recent = (RecentKeys) field(field(harness.loadBalancer, "spreader"), "recent");
        assertTrue(recent.size() <= MAX_RECENT_REQUESTS);
        assertTrue(sizeOf(recent, "totals") <= MAX_RECENT_REQUESTS);
        assertTrue(sizeOf(recent, "keys") <= 2 * MAX_RECENT_REQUESTS);
    }
}
