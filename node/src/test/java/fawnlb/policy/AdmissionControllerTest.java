package fawnlb.policy;

import static fawnlb.policy.PolicyFixtures.MS;
import static fawnlb.policy.PolicyFixtures.S;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.LoadBalancerSettings.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.Before;
import org.junit.Test;

public class AdmissionControllerTest {
    private static final int ENDPOINTS = 5;
    private static final int UNKNOWN_TENANT = 9;
    private final EndpointTable table = new EndpointTable(0);
    private final StreamPaceTracker pace = new StreamPaceTracker(table, 1);
    private final AdmissionController admission =
            new AdmissionController(table, pace, new TenantQuotas(List.of(new Tenant(0.5, 1), new Tenant(0.5, 1))));
    private final ActiveRequest request = PolicyFixtures.request(7);

    @Before
    public void list() {
        PolicyFixtures.listReadyEndpoints(table, pace, ENDPOINTS, 1);
        pace.onReadyChanged(table.ready());
    }

    private void recordFirstTokens(int endpoints, long nanos) {
        for (EndpointState endpoint : table.ready().subList(0, endpoints)) {
            for (int i = 0; i < 100; i++) {
                admission.recordFirstToken(endpoint, request, nanos);
            }
        }
    }

    private void recordStreams(int streams, long nanos) {
        for (EndpointState endpoint : table.ready()) {
            for (int i = 0; i < streams; i++) {
                pace.record(endpoint, request, nanos);
            }
        }
    }

    /** The sessions that are shed of requests whose tenant has no quota. */
    private List<Long> shedSessions() {
        return shedSessions(UNKNOWN_TENANT);
    }

    private List<Long> shedSessions(int tenant) {
        List<Long> shed = new ArrayList<>();
        for (long session = 1; session <= 2000; session++) {
            if (admission.shouldShed(PolicyFixtures.requestOfTenant(session, tenant))) {
                shed.add(session);
            }
        }
        return shed;
    }

    @Test
    public void timelyFirstTokensShedNothing() {
        recordFirstTokens(ENDPOINTS, 700 * MS);
        assertEquals(List.of(), shedSessions());
    }

    @Test
    public void lateFirstTokensAtMostEndpointsShedNineTenths() {
        recordFirstTokens(ENDPOINTS, 900 * MS);
        assertEquals(0.9, shedSessions().size() / 2000.0, 0.03);
    }

    @Test
    public void fewLateEndpointsAreNoOverload() {
        recordFirstTokens(2, 900 * MS);
        assertEquals(List.of(), shedSessions());
    }

    @Test
    public void overloadedAttemptsCountAsLate() {
        table.ready().forEach(endpoint -> {
            for (int i = 0; i < 6; i++) {
                admission.recordOverload(endpoint);
            }
        });
        double late = 1 - Math.pow(15 / 16.0, 6);
        assertEquals(
                late - AdmissionController.OVERLOAD_THRESHOLD, shedSessions().size() / 2000.0, 0.04);
    }

    @Test
    public void restartForgetsLateness() {
        recordFirstTokens(ENDPOINTS, 900 * MS);
        table.ready().forEach(admission::onRestart);
        assertEquals(List.of(), shedSessions());
    }

    @Test
    public void slowStreamsShedAsMuchAsBringsThemBack() {
        recordStreams(64, S);
        assertEquals(List.of(), shedSessions());
        recordStreams(300, 2 * S);
        assertEquals("within ordinary load", List.of(), shedSessions());
        recordStreams(300, 4 * S);
        assertEquals(1 - AdmissionController.SLOW_STREAMS / 4, shedSessions().size() / 2000.0, 0.06);
    }

    @Test
    public void shedSessionsStayTheSame() {
        recordStreams(64, S);
        recordStreams(300, 4 * S);
        List<Long> first = shedSessions();
        assertTrue(first.size() > 100);
        assertEquals(first, shedSessions());
    }

    @Test
    public void tenantAboveItsShareIsShedMore() {
        recordStreams(64, S);
        recordStreams(300, 4 * S);
        int unknownTenant = shedSessions().size();
        int flooding = shedSessions(0).size();
        assertTrue(flooding + " and " + unknownTenant, flooding > 1.5 * unknownTenant);
    }
}
