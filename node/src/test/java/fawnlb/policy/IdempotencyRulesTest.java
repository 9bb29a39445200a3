package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.NOW;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Endpoint;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import org.junit.Test;

public class IdempotencyRulesTest {
    private static final EndpointState FIRST = PolicyFixtures.endpoint(1, 0, 0);
    private static final EndpointState SAME_CELL = PolicyFixtures.endpoint(2, 0, 0);
    private static final EndpointState SAME_ZONE = PolicyFixtures.endpoint(3, 0, 1);
    private static final EndpointState SAME_CELL_NUMBER = PolicyFixtures.endpoint(4, 1, 0);

    private static ActiveRequest attempted(Idempotency idempotency, IdempotencyScope scope, boolean mayHaveRun) {
        ActiveRequest request = PolicyFixtures.request(PolicyFixtures.requestClass(idempotency, scope));
        request.addAttempt(FIRST, NOW);
        request.endAttempt(request.attempt(0), mayHaveRun);
        return request;
    }

    @Test
    public void idempotentRequestsMayRunAnywhereAndBeRejected() {
        ActiveRequest request = attempted(Idempotency.IDEMPOTENT, IdempotencyScope.CELL, true);
        assertTrue(IdempotencyRules.permits(request, SAME_CELL_NUMBER, NOW + 100 * S));
        assertTrue(IdempotencyRules.mayReject(request));
    }

    @Test
    public void otherRequestsMayRunOnce() {
        ActiveRequest request = attempted(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, true);
        assertFalse(IdempotencyRules.permits(request, SAME_CELL, NOW));
        assertFalse(IdempotencyRules.mayReject(request));
    }

    @Test
    public void attemptsThatNeverRanDoNotCount() {
        for (Idempotency idempotency : Idempotency.values()) {
            ActiveRequest request = attempted(idempotency, IdempotencyScope.CELL, false);
            assertTrue(IdempotencyRules.permits(request, SAME_CELL_NUMBER, NOW + 100 * S));
            assertTrue(IdempotencyRules.mayReject(request));
        }
    }

    @Test
    public void idempotencyKeysAreSharedWithinTheirScope() {
        assertShared(IdempotencyScope.ALL, true, true, true);
        assertShared(IdempotencyScope.ZONE, true, true, false);
        assertShared(IdempotencyScope.CELL, true, false, false);
    }

    private static void assertShared(IdempotencyScope scope, boolean sameCell, boolean sameZone, boolean elsewhere) {
        ActiveRequest request = attempted(Idempotency.IDEMPOTENCY_KEY, scope, true);
        assertEquals(sameCell, IdempotencyRules.permits(request, SAME_CELL, NOW));
        assertEquals(sameZone, IdempotencyRules.permits(request, SAME_ZONE, NOW));
        assertEquals(elsewhere, IdempotencyRules.permits(request, SAME_CELL_NUMBER, NOW));
        assertEquals(scope == IdempotencyScope.ALL, IdempotencyRules.mayReject(request));
    }

    @Test
    public void endpointOfUnknownZoneOrCellSharesKeysWithItselfAlone() {
        EndpointState zoneUnknown = PolicyFixtures.endpoint(5, Endpoint.UNKNOWN, 0);
        EndpointState cellUnknown = PolicyFixtures.endpoint(6, 0, Endpoint.UNKNOWN);
        for (IdempotencyScope scope : new IdempotencyScope[] {IdempotencyScope.ZONE, IdempotencyScope.CELL}) {
            ActiveRequest request =
                    PolicyFixtures.request(PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, scope));
            request.addAttempt(zoneUnknown, NOW);
            request.endAttempt(request.attempt(0), true);
            assertTrue(IdempotencyRules.permits(request, zoneUnknown, NOW));
            assertFalse(IdempotencyRules.permits(request, PolicyFixtures.endpoint(7, Endpoint.UNKNOWN, 0), NOW));
        }
        ActiveRequest request =
                PolicyFixtures.request(PolicyFixtures.requestClass(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL));
        request.addAttempt(cellUnknown, NOW);
        request.endAttempt(request.attempt(0), true);
        assertTrue(IdempotencyRules.permits(request, cellUnknown, NOW));
        assertFalse(IdempotencyRules.permits(request, PolicyFixtures.endpoint(8, 0, Endpoint.UNKNOWN), NOW));
    }

    /** Guards against requests that run twice, in a process that was taken for the one that had gone. */
    @Test
    public void endpointWhoseConnectionBrokeMayBeAnotherProcess() {
        for (IdempotencyScope scope : IdempotencyScope.values()) {
            ActiveRequest request = attempted(Idempotency.IDEMPOTENCY_KEY, scope, true);
            assertTrue(IdempotencyRules.permits(request, FIRST, NOW));

            request.attempt(0).connectionLost = true;

            assertEquals(scope == IdempotencyScope.ALL, IdempotencyRules.permits(request, FIRST, NOW));
            assertTrue(IdempotencyRules.permits(request, SAME_CELL, NOW));
        }
        ActiveRequest idempotent = attempted(Idempotency.IDEMPOTENT, IdempotencyScope.CELL, true);
        idempotent.attempt(0).connectionLost = true;
        assertTrue(IdempotencyRules.permits(idempotent, FIRST, NOW));
    }

    @Test
    public void idempotencyKeysAreForgottenAfterTheirWindow() {
        ActiveRequest request = attempted(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL, true);
        assertTrue(IdempotencyRules.permits(request, SAME_CELL, NOW + 5 * S - 1));
        assertFalse(IdempotencyRules.permits(request, SAME_CELL, NOW + 5 * S));
    }
}
