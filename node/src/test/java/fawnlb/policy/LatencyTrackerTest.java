package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class LatencyTrackerTest {
    private static final double OBJECTIVE = S;
    private final LatencyTracker tracker = new LatencyTracker();
    private final EndpointState ordinary = PolicyFixtures.endpoint(1);
    private final EndpointState slow = PolicyFixtures.endpoint(2);

    private void record(EndpointState endpoint, int samples, long nanos) {
        for (int i = 0; i < samples; i++) {
            tracker.record(endpoint, nanos);
        }
    }

    private double fraction(EndpointState endpoint, long now) {
        return tracker.capacityFraction(endpoint, OBJECTIVE, now);
    }

    @Test
    public void firstSampleIsTheBaseline() {
        tracker.record(ordinary, 100 * MS);
        assertEquals(100 * MS, tracker.baselineNanos(), 0);
    }

    @Test
    public void slowEndpointUsesLessInProportionAndMovesTheBaselineLittle() {
        record(ordinary, 200, 100 * MS);
        record(slow, 1, 10 * S);
        assertTrue("" + tracker.baselineNanos(), tracker.baselineNanos() < 102 * MS);
        assertEquals(1, fraction(ordinary, NOW), 0);
        assertEquals(2 * tracker.baselineNanos() / slow.firstTokenLatencyNanos, fraction(slow, NOW), 0);
        assertTrue(fraction(slow, NOW) < 0.2);
    }

    @Test
    public void ordinaryFirstTokensEndTheSlowness() {
        record(ordinary, 200, 100 * MS);
        record(slow, 1, 10 * S);
        record(slow, 40, 100 * MS);
        assertEquals(1, fraction(slow, NOW), 0);
    }

    @Test
    public void restartForgetsTheLatencyOfTheEndpoint() {
        record(ordinary, 200, 100 * MS);
        record(slow, 1, 10 * S);
        tracker.onRestart(slow);
        assertEquals(1, fraction(slow, NOW), 0);
    }

    @Test
    public void latencyBelowPartOfTheObjectiveDoesNotMatter() {
        record(ordinary, 200, MS);
        record(slow, 100, 90 * MS);
        assertEquals(1, fraction(slow, NOW), 0);
    }

    @Test
    public void silenceShrinksTheFractionUntilTheEndpointActs() {
        record(ordinary, 200, 100 * MS);
        tracker.onAttemptStarted(slow, NOW);
        tracker.onAttemptStarted(slow, NOW + S);
        assertEquals(1, fraction(slow, NOW + 150 * MS), 0);
        assertEquals(0.1, fraction(slow, NOW + 2 * S), 1e-6);
        tracker.onGivenUp(slow);
        assertEquals("silence goes on", 0.1, fraction(slow, NOW + 2 * S), 1e-6);
        tracker.onSignOfLife(slow, NOW + 2 * S);
        assertEquals(0, slow.awaitingFirstToken);
        assertEquals("nothing awaits it", 1, fraction(slow, NOW + 9 * S), 0);
    }
}
