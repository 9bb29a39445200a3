package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.LoadBalancerSettings.EndpointLifecycle;
import java.util.List;
import org.junit.Before;
import org.junit.Test;

public class EndpointFeedbackTest {
    private static final int ZONES = 1;
    private final EndpointTable table = new EndpointTable(0);
    private final SlowStart slowStart = new SlowStart(new EndpointLifecycle(S, 10 * S, 0.2, 10 * S, 3, S), () -> 0.5);
    private final OutlierDetector outliers = new OutlierDetector();
    private final LatencyTracker latency = new LatencyTracker();
    private final StreamPaceTracker pace = new StreamPaceTracker(table, 1);
    private final AdmissionController admission = new AdmissionController(table, pace, new TenantQuotas(List.of()));
    private final EndpointFeedback feedback =
            new EndpointFeedback(table, slowStart, outliers, latency, pace, admission);
    private final EndpointState endpoint = PolicyFixtures.endpoint(1);
    private final ActiveRequest request = PolicyFixtures.request(7);

    @Before
    public void startAttempt() {
        pace.onListed(endpoint, 0);
        request.addAttempt(endpoint, NOW);
        feedback.onAttemptStarted(endpoint, request, NOW);
    }

    private Attempt attempt() {
        return request.attempt(0);
    }

    private void startResponse(long elapsedNanos) {
        attempt().responseStarted = true;
        attempt().firstTokenNanos = elapsedNanos;
        feedback.onResponseStarted(attempt(), request, elapsedNanos, NOW + elapsedNanos);
    }

    private void end(AttemptOutcome outcome, long elapsedNanos) {
        feedback.onAttemptEnded(attempt(), request, outcome, elapsedNanos, NOW + elapsedNanos);
    }

    @Test
    public void startedAttemptIsInFlightAndAwaitsItsFirstToken() {
        assertEquals(1, endpoint.inFlight);
        assertEquals(1, endpoint.awaitingFirstToken);
        assertEquals(NOW, endpoint.silentSince);
    }

    @Test
    public void timelyResponseIsNotLateAndEndsTheWait() {
        startResponse(100 * MS);
        assertEquals(0, endpoint.awaitingFirstToken);
        assertEquals(NOW + 100 * MS, endpoint.silentSince);
        assertEquals(100 * MS, latency.baselineNanos(), 0);
        assertEquals(0, endpoint.lateFraction, 0);
        assertEquals("still in flight", 1, endpoint.inFlight);
    }

    @Test
    public void completedStreamTellsOfItsPaceWithoutTheFirstToken() {
        startResponse(100 * MS);
        end(AttemptOutcome.SERVED, 2 * S);
        assertEquals(0, endpoint.inFlight);
        assertEquals(1, endpoint.streamSamples);
        assertEquals("the first token was counted once", 100 * MS, latency.baselineNanos(), 0);
    }

    @Test
    public void brokenStreamTellsOfNoPace() {
        startResponse(100 * MS);
        end(AttemptOutcome.RESET, 2 * S);
        assertEquals(0, endpoint.streamSamples);
        assertEquals(1, endpoint.consecutiveFailures);
    }

    @Test
    public void silenceCountsAsLatencyAndAsLateButNotAsSignOfLife() {
        for (AttemptOutcome silence : new AttemptOutcome[] {AttemptOutcome.TIMEOUT, AttemptOutcome.STALLED}) {
            endpoint.lateFraction = 0;
            end(silence, S);
            assertEquals(NOW, endpoint.silentSince);
            assertEquals(1 / 16.0, endpoint.lateFraction, 1e-9);
            assertFalse(silence.toString(), outliers.isEjected(endpoint, ZONES, NOW));
        }
        assertEquals(S, latency.baselineNanos(), 0);
    }

    @Test
    public void fullEndpointIsLateAndAlive() {
        end(AttemptOutcome.FULL, 10 * MS);
        assertEquals(1 / 16.0, endpoint.lateFraction, 1e-9);
        assertEquals(NOW + 10 * MS, endpoint.silentSince);
        assertEquals(0, latency.baselineNanos(), 0);
    }

    @Test
    public void cancelledAttemptTellsNothing() {
        end(AttemptOutcome.CANCELLED, S);
        assertEquals(0, endpoint.awaitingFirstToken);
        assertEquals(NOW, endpoint.silentSince);
        assertEquals(0, endpoint.lateFraction, 0);
        assertEquals(0, latency.baselineNanos(), 0);
    }

    @Test
    public void failedConnectEjects() {
        end(AttemptOutcome.CONNECT_FAILED, MS);
        assertTrue(outliers.isEjected(endpoint, ZONES, NOW + MS));
    }

    @Test
    public void restartForgetsFailuresAndLatencyAndBeginsSlowStart() {
        end(AttemptOutcome.CONNECT_FAILED, MS);
        endpoint.lateFraction = 0.5;
        endpoint.firstTokenLatencyNanos = S;
        feedback.onRestart(endpoint, NOW + S, NOW + S);
        assertEquals(0, endpoint.consecutiveFailures);
        assertFalse(outliers.isEjected(endpoint, ZONES, NOW + S));
        assertEquals(0, endpoint.lateFraction, 0);
        assertEquals(0, endpoint.firstTokenLatencyNanos, 0);
        assertEquals(NOW + S, endpoint.startedAt);
        assertTrue(endpoint.inSlowStart);
    }
}
