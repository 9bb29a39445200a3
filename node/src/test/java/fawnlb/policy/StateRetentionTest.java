package fawnlb.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.junit.Test;

/** Many short lives of replicas, sessions and prefixes on one clock, and what the module keeps at the end. */
public class StateRetentionTest {
    private static final int LIVE_ENDPOINTS = 10;
    private static final int ROUNDS = 4000;

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

    @Test
    public void departedEndpointsAndFinishedRequestsAreForgotten() throws Exception {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(LIVE_ENDPOINTS);
        AttemptOutcome[] ends = {
            AttemptOutcome.SERVED,
            AttemptOutcome.RESET,
            AttemptOutcome.ERROR,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.SERVED
        };
        Map<Long, Integer> attempts = new HashMap<>();
        for (int i = 0; i < ROUNDS; i++) {
            harness.now += 60 * LoadBalancerHarness.MS;
            Endpoint joins =
                    LoadBalancerHarness.endpoint(LIVE_ENDPOINTS + 1 + i, EndpointPhase.READY, harness.now, i % 3);
            harness.updateEndpoints(
                    EndpointUpdateKind.DELTA, LoadBalancerHarness.endpoint(1 + i, EndpointPhase.GONE, 0, i % 3), joins);
            harness.arrive(1_000_000 + i / 50, 9_000_000L + i);
            // A request that waited for room may be sent only now, and one that failed once more.
            for (int seen = 0; seen < harness.startedAttempts().size(); seen++) {
                StartAttempt send = harness.startedAttempts().get(seen);
                int attempt = attempts.merge(send.requestId(), 1, Integer::sum) - 1;
                AttemptOutcome outcome = attempt < 3 ? ends[(i + attempt) % ends.length] : AttemptOutcome.SERVED;
                if (outcome == AttemptOutcome.SERVED) {
                    harness.startResponse(send, attempt, 50 * LoadBalancerHarness.MS);
                }
                harness.endAttempt(send, attempt, outcome, outcome == AttemptOutcome.SERVED);
            }
            harness.actions.clear();
        }
        // Those that still wait for room are refused when their time is up.
        harness.now += 10 * LoadBalancerHarness.S;
        harness.loadBalancer.onEvent(harness.now, new TimerFired(1));
        assertEquals(LIVE_ENDPOINTS, sizeOf(field(harness.loadBalancer, "endpoints"), "byId"));
        HashRing<?> ring = (HashRing<?>) field(field(harness.loadBalancer, "endpoints"), "ring");
        assertEquals(LIVE_ENDPOINTS * HashRing.POINTS_PER_ENDPOINT, ring.size());
        assertTrue(sizeOf(ring, "points") <= 2 * LIVE_ENDPOINTS * HashRing.POINTS_PER_ENDPOINT);
        assertTrue("numbers of those that left are used again", sizeOf(ring, "endpoints") <= LIVE_ENDPOINTS + 2);
        assertEquals(0, sizeOf(harness.loadBalancer, "requests"));
        assertEquals(0, sizeOf(field(harness.loadBalancer, "pending"), "requests"));
        RecentKeys recent = (RecentKeys) field(field(harness.loadBalancer, "spreader"), "recent");
        assertTrue(recent.size() <= HotKeySpreader.RECENT_REQUESTS_PER_ENDPOINT * 16);
        assertTrue(sizeOf(recent, "totals") <= HotKeySpreader.RECENT_REQUESTS_PER_ENDPOINT * 16);
        assertTrue(sizeOf(recent, "keys") <= 2 * HotKeySpreader.RECENT_REQUESTS_PER_ENDPOINT * 16);
        assertTrue(
                "slow starts of 9 s", sizeOf(field(harness.loadBalancer, "slowStart"), "endpoints") <= 9000 / 60 + 2);
    }
}
