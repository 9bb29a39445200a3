package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class RolloutPredictorTest {
    private final RolloutPredictor rollout = new RolloutPredictor();

    /** Endpoints of which each started a second after the one before. */
    private List<EndpointState> startedInTurn(int count) {
        List<EndpointState> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EndpointState endpoint = PolicyFixtures.endpoint(i);
            endpoint.startedAt = (1 + i) * S;
            endpoints.add(endpoint);
        }
        rollout.onReadyChanged(endpoints);
        return endpoints;
    }

    @Test
    public void oneDrainIsNoRollout() {
        List<EndpointState> endpoints = startedInTurn(8);
        rollout.onDrain(NOW);
        assertFalse(rollout.isNext(endpoints.get(0), NOW));
        rollout.onDrain(NOW + 10 * S);
        assertFalse("too far apart", rollout.isNext(endpoints.get(0), NOW + 10 * S));
    }

    @Test
    public void threeOldestAreNextFromTheSecondDrainOn() {
        List<EndpointState> endpoints = startedInTurn(8);
        rollout.onDrain(NOW);
        rollout.onDrain(NOW + 2 * S);
        for (int i = 0; i < 8; i++) {
            assertTrue("endpoint " + i, rollout.isNext(endpoints.get(i), NOW + 2 * S) == i < 3);
        }
    }

    @Test
    public void rolloutEndsAfterItsWindowWithoutADrain() {
        List<EndpointState> endpoints = startedInTurn(8);
        rollout.onDrain(NOW);
        rollout.onDrain(NOW + 2 * S);
        assertTrue(rollout.isNext(endpoints.get(0), NOW + 12 * S - 1));
        assertFalse(rollout.isNext(endpoints.get(0), NOW + 12 * S));
    }

    @Test
    public void nothingIsPredictedWithoutAnOrderOfStarts() {
        List<EndpointState> together = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            together.add(PolicyFixtures.endpoint(i));
        }
        rollout.onReadyChanged(together);
        rollout.onDrain(NOW);
        rollout.onDrain(NOW + S);
        assertFalse(rollout.isNext(together.get(0), NOW + S));
        assertFalse("too few endpoints", rollout.isNext(startedInTurn(5).get(0), NOW + S));
    }
}
