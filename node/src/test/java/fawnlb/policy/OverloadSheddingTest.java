package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerSettings.Tenant;
import org.junit.jupiter.api.Test;

/** Which requests are rejected on arrival under overload. */
class OverloadSheddingTest {
    @Test
    void lateFirstTokensShedSessionsUntilTheyRecover() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        serve(harness, 100, 900 * MS, S);
        int rejected = harness.actionsOf(RejectRequest.class).size();
        assertTrue(rejected > 20, "rejected " + rejected);
        serve(harness, 400, 10 * MS, S);
        int before = harness.actionsOf(RejectRequest.class).size();
        serve(harness, 100, 10 * MS, S);
        assertEquals(before, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void slowStreamsShedSessionsUntilTheyRecover() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        serve(harness, 200, 10 * MS, S);
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
        serve(harness, 300, 10 * MS, 6 * S);
        int rejected = harness.actionsOf(RejectRequest.class).size();
        assertTrue(rejected > 50 && rejected < 250, "rejected " + rejected);
        serve(harness, 1500, 10 * MS, S);
        int before = harness.actionsOf(RejectRequest.class).size();
        serve(harness, 100, 10 * MS, S);
        assertEquals(before, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void someSessionsPassUnderTheWorstOverload() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        serve(harness, 200, 10 * MS, 20 * MS);
        serve(harness, 1000, 10 * MS, 3600 * S);
        int before = harness.startedAttempts().size();
        serve(harness, 1000, 10 * MS, 3600 * S);
        assertTrue(
                harness.startedAttempts().size() > before + 50,
                "sent " + (harness.startedAttempts().size() - before));
    }

    /** Lets requests of as many sessions arrive, and serves those that are not rejected. */
    private static void serve(LoadBalancerHarness harness, int requests, long firstToken, long stream) {
        for (int i = 0; i < requests; i++) {
            int before = harness.startedAttempts().size();
            harness.arrive(0, 1 + i);
            if (harness.startedAttempts().size() > before) {
                StartAttempt started = harness.lastAttempt();
                harness.startResponse(started, 0, firstToken);
                harness.endAttempt(started, 0, AttemptOutcome.SERVED, true, firstToken + stream);
            }
        }
    }

    @Test
    void tenantAboveItsShareIsShedFirst() {
        TestSettings settings = new TestSettings().tenants(new Tenant(0.5, 1), new Tenant(0.5, 1));
        LoadBalancerHarness harness = new LoadBalancerHarness(settings.build()).withReadyEndpoints(5);
        int[] arrived = new int[2];
        int[] served = new int[2];
        for (int i = 0; i < 1200; i++) {
            int tenant = i % 4 == 0 ? 1 : 0;
            int before = harness.startedAttempts().size();
            harness.arrive(0, 1 + i, tenant);
            boolean sent = harness.startedAttempts().size() > before;
            if (i >= 600) {
                arrived[tenant]++;
                served[tenant] += sent ? 1 : 0;
            }
            if (sent) {
                StartAttempt started = harness.lastAttempt();
                harness.startResponse(started, 0, i % 2 == 0 ? 900 * MS : MS);
                harness.endAttempt(started, 0, AttemptOutcome.SERVED, true, S);
            }
        }
        double flooding = served[0] / (double) arrived[0];
        double modest = served[1] / (double) arrived[1];
        assertTrue(modest > flooding + 0.2, flooding + " and " + modest);
    }

    /** Responses of microseconds that took milliseconds on a busy machine once made an idle instance shed sessions. */
    @Test
    void veryShortStreamsShedNothing() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(4);
        for (int i = 0; i < 800; i++) {
            harness.arrive(0, i);
            StartAttempt started = harness.lastAttempt();
            long stream = i < 400 ? 20_000 : 40 * MS;
            harness.startResponse(started, 0, 100_000);
            harness.endAttempt(started, 0, AttemptOutcome.SERVED, true, 100_000 + stream);
            assertTrue(harness.actionsOf(RejectRequest.class).isEmpty(), "request " + i);
        }
    }
}
