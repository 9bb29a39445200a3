package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.EndpointUpdateKind;
import java.util.OptionalLong;
import org.junit.Test;

public class DiscoveryWatchTest {
    private final DiscoveryWatch watch = new DiscoveryWatch(LoadBalancerHarness.watchingSettings(2, 0), () -> 0.5);

    @Test
    public void pushedEndpointsNeedNoWatch() {
        DiscoveryWatch pushed = new DiscoveryWatch(LoadBalancerHarness.idempotentSettings(), () -> 0.5);
        for (EndpointUpdateKind kind : EndpointUpdateKind.values()) {
            assertEquals(OptionalLong.empty(), pushed.onUpdate(kind, NOW));
        }
    }

    @Test
    public void cachedListAsksForAWatch() {
        long dueAt = watch.onUpdate(EndpointUpdateKind.CACHED, NOW).orElseThrow();
        assertFalse(watch.isDue(dueAt - S / 100));
        assertTrue(watch.isDue(dueAt));
    }

    @Test
    public void openWatchIsNotReopened() {
        watch.onUpdate(EndpointUpdateKind.CACHED, NOW);
        assertEquals(OptionalLong.empty(), watch.onUpdate(EndpointUpdateKind.FULL, NOW));
        assertFalse(watch.isDue(NOW + 100 * S));
    }

    @Test
    public void filteredUpdatesSayNothingOfTheWatch() {
        long dueAt = watch.onUpdate(EndpointUpdateKind.CACHED, NOW).orElseThrow();
        assertEquals(OptionalLong.empty(), watch.onUpdate(EndpointUpdateKind.FILTERED, NOW));
        assertTrue(watch.isDue(dueAt));
    }

    @Test
    public void openingIsRepeatedWithoutAnAnswer() {
        watch.onUpdate(EndpointUpdateKind.CACHED, NOW);
        long retryAt = watch.onOpening(NOW + S);
        assertFalse(watch.isDue(NOW + S));
        assertTrue(watch.isDue(retryAt));
    }
}
