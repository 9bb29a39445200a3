package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import org.junit.Test;

public class OutlierDetectorTest {
    private static final int ZONES = 2;
    private final OutlierDetector detector = new OutlierDetector();
    private final EndpointState endpoint = PolicyFixtures.endpoint(1);

    private void end(EndpointState on, AttemptOutcome outcome, long now) {
        detector.onAttemptEnded(on, outcome, false, now);
    }

    private boolean isEjected(long now) {
        return detector.isEjected(endpoint, ZONES, now);
    }

    private void assertEjectedFor(long nanos) {
        assertTrue(isEjected(NOW + nanos - 1));
        assertFalse(isEjected(NOW + nanos));
    }

    @Test
    public void failedConnectEjectsForASecond() {
        end(endpoint, AttemptOutcome.CONNECT_FAILED, NOW);
        assertEjectedFor(S);
    }

    @Test
    public void errorsAndResetsEjectFromTheSecondOn() {
        end(endpoint, AttemptOutcome.ERROR, NOW);
        assertFalse(isEjected(NOW));
        end(endpoint, AttemptOutcome.RESET, NOW);
        assertEjectedFor(2 * S);
    }

    @Test
    public void ejectionDoublesUpToSixteenSeconds() {
        for (long seconds : new long[] {1, 2, 4, 8, 16, 16}) {
            end(endpoint, AttemptOutcome.CONNECT_FAILED, NOW);
            assertEjectedFor(seconds * S);
        }
    }

    @Test
    public void responseEndsTheEjectionAndTheCount() {
        end(endpoint, AttemptOutcome.CONNECT_FAILED, NOW);
        detector.onResponseStarted(endpoint);
        assertFalse(isEjected(NOW));
        end(endpoint, AttemptOutcome.ERROR, NOW);
        assertFalse(isEjected(NOW));
    }

    @Test
    public void restartEndsTheEjection() {
        end(endpoint, AttemptOutcome.CONNECT_FAILED, NOW);
        detector.onRestart(endpoint);
        assertFalse(isEjected(NOW));
    }

    @Test
    public void outcomesThatTellNothingOfHealthDoNotEject() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.FULL,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.NEVER_SENT,
            AttemptOutcome.STALLED
        }) {
            end(endpoint, outcome, NOW);
            end(endpoint, outcome, NOW);
            assertFalse(outcome.toString(), isEjected(NOW));
        }
    }

    @Test
    public void stallOfAStreamEjectsUntilAResponseCompletes() {
        detector.onAttemptEnded(endpoint, AttemptOutcome.STALLED, true, NOW);
        assertEjectedFor(2 * S);
        detector.onResponseStarted(endpoint);
        assertTrue("a first token forgives no stall", isEjected(NOW));
        detector.onAttemptEnded(endpoint, AttemptOutcome.SERVED, true, NOW);
        assertFalse(isEjected(NOW));
    }

    private void failConnects(int endpoints) {
        for (int id = 10; id < 10 + endpoints; id++) {
            end(PolicyFixtures.endpoint(id), AttemptOutcome.CONNECT_FAILED, NOW);
        }
    }

    @Test
    public void threeUnreachableEndpointsEjectTheirZoneForASecond() {
        failConnects(2);
        assertFalse(isEjected(NOW));
        failConnects(1);
        assertEjectedFor(S);
        assertFalse("another zone", detector.isEjected(PolicyFixtures.endpoint(5, 1, 0), ZONES, NOW));
        assertFalse("the only zone", detector.isEjected(endpoint, 1, NOW));
    }

    @Test
    public void endpointsOfUnknownZonesAreNotEjectedTogether() {
        for (int id = 10; id < 13; id++) {
            end(PolicyFixtures.endpoint(id, Endpoint.UNKNOWN, 0), AttemptOutcome.CONNECT_FAILED, NOW);
        }
        assertFalse(detector.isEjected(PolicyFixtures.endpoint(5, Endpoint.UNKNOWN, 0), ZONES, NOW));
    }

    @Test
    public void failedTryProlongsTheEjectionOfTheZone() {
        failConnects(3);
        end(PolicyFixtures.endpoint(20), AttemptOutcome.CONNECT_FAILED, NOW + S);
        assertTrue(isEjected(NOW + 2 * S - 1));
    }

    @Test
    public void responseFromTheZoneEndsItsEjection() {
        failConnects(3);
        detector.onResponseStarted(PolicyFixtures.endpoint(30, 1, 0));
        assertTrue("another zone answered", isEjected(NOW));
        detector.onResponseStarted(PolicyFixtures.endpoint(31));
        assertFalse(isEjected(NOW));
    }

    @Test
    public void repeatedFailuresOfOneEndpointAreNoZoneOutage() {
        EndpointState unreachable = PolicyFixtures.endpoint(10);
        for (int i = 0; i < 5; i++) {
            end(unreachable, AttemptOutcome.CONNECT_FAILED, NOW);
        }
        assertFalse(isEjected(NOW));
    }
}
