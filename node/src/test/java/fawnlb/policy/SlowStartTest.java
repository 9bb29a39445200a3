package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import org.junit.Test;

public class SlowStartTest {
    private static final long WINDOW = 10 * S;
    private static final int WARM_ENDPOINTS = 4;
    private static final double HALF = 0.5;
    private final EndpointLifecycle lifecycle = new EndpointLifecycle(S, 10 * S, 0.2, WINDOW, 3, S);
    private final SlowStart slowStart = new SlowStart(lifecycle, () -> HALF);
    private final EndpointState warm = PolicyFixtures.endpoint(1);
    private final EndpointState fresh = PolicyFixtures.endpoint(2);

    /** Ten requests a second for a minute, each of 100 tokens; the time at the end. */
    private long playLoad() {
        long now = NOW;
        for (int i = 0; i < 600; i++) {
            now += S / 10;
            slowStart.onAttemptStarted(warm, 100, now, WARM_ENDPOINTS);
        }
        return now;
    }

    @Test
    public void capacityGrowsFromItsInitialFractionToOne() {
        slowStart.onRestart(fresh, NOW, NOW, WARM_ENDPOINTS);
        assertEquals(0.2, slowStart.capacityFraction(fresh, NOW), 1e-9);
        assertEquals(0.6, slowStart.capacityFraction(fresh, NOW + WINDOW / 2), 1e-9);
        assertEquals(1, slowStart.capacityFraction(fresh, NOW + 2 * WINDOW), 1e-9);
        assertEquals("warm from the start", 1, slowStart.capacityFraction(warm, NOW), 0);
    }

    @Test
    public void endpointsThatStartedLongAgoAreWarm() {
        slowStart.onRestart(fresh, 0, NOW, WARM_ENDPOINTS);
        assertFalse(fresh.inSlowStart);
        slowStart.onRestart(fresh, NOW - WINDOW, NOW, WARM_ENDPOINTS);
        assertFalse(fresh.inSlowStart);
        assertEquals(NOW - WINDOW, fresh.startedAt);
    }

    @Test
    public void slowStartEndsAfterItsWindow() {
        slowStart.onRestart(fresh, NOW, NOW, WARM_ENDPOINTS);
        assertFalse(slowStart.endElapsed(NOW + WINDOW - 1));
        assertTrue(fresh.inSlowStart);
        assertTrue(slowStart.endElapsed(NOW + WINDOW));
        assertFalse(fresh.inSlowStart);
        assertEquals(0, slowStart.size());
        assertFalse("nothing is left to end", slowStart.endElapsed(NOW + 9 * WINDOW));
    }

    @Test
    public void restartDuringSlowStartBeginsItAnew() {
        slowStart.onRestart(fresh, NOW, NOW, WARM_ENDPOINTS);
        slowStart.onRestart(fresh, NOW + WINDOW / 2, NOW + WINDOW / 2, WARM_ENDPOINTS);
        assertEquals(1, slowStart.size());
        slowStart.endElapsed(NOW + WINDOW);
        assertTrue(fresh.inSlowStart);
        slowStart.endElapsed(NOW + WINDOW + WINDOW / 2);
        assertFalse(fresh.inSlowStart);
    }

    @Test
    public void instanceWithoutLoadBeginsAtARandomMomentOfTheWindow() {
        slowStart.onRestart(fresh, NOW, NOW, WARM_ENDPOINTS);
        assertTrue(slowStart.isResting(fresh, NOW + WINDOW / 2 - 1));
        assertFalse(slowStart.isResting(fresh, NOW + WINDOW / 2));
    }

    @Test
    public void instanceWithoutLoadMayBeginAtOnce() {
        slowStart.onRestart(fresh, NOW, NOW, WARM_ENDPOINTS);
        slowStart.startWithoutDelayIfIdle(NOW);
        assertFalse(slowStart.isResting(fresh, NOW));
    }

    @Test
    public void instanceWithLoadKeepsTheDelay() {
        long now = playLoad();
        slowStart.onRestart(fresh, now, now, WARM_ENDPOINTS);
        slowStart.startWithoutDelayIfIdle(now);
        assertTrue(slowStart.isResting(fresh, now));
    }

    /**
     * A warm endpoint has a quarter of ten requests a second; midway to an overload the fresh one has 0.2 * 2 of that.
     */
    @Test
    public void endpointRestsInProportionToItsShareOfTheLoad() {
        long now = playLoad();
        slowStart.onRestart(fresh, now, now, WARM_ENDPOINTS);
        slowStart.onAttemptStarted(fresh, 100, now, WARM_ENDPOINTS);
        assertTrue(slowStart.isResting(fresh, now + 950 * S / 1000));
        assertFalse(slowStart.isResting(fresh, now + 1050 * S / 1000));
    }

    @Test
    public void warmEndpointsNeverRest() {
        long now = playLoad();
        slowStart.onAttemptStarted(warm, 1e6, now, WARM_ENDPOINTS);
        assertFalse(slowStart.isResting(warm, now));
    }
}
