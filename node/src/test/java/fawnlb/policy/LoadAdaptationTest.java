package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.MS;
import static fawnlb.policy.LoadBalancerHarness.S;
import static fawnlb.policy.LoadBalancerHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerSettings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadAdaptationTest {
    @Test
    void rarePrefixStaysOnOneEndpointAndAHotOneSpreads() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(20);
        Set<Long> rare = new HashSet<>();
        Set<Long> hot = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            boolean isRare = i % 150 == 149;
            harness.arrive(isRare ? 5000 : i % 2 == 0 ? 6000 : 10_000 + i, 1 + i);
            StartAttempt send = harness.lastAttempt();
            if (i > 300 && isRare) {
                rare.add(send.endpointId());
            } else if (i > 300 && i % 2 == 0) {
                hot.add(send.endpointId());
            }
            harness.endAttempt(send, 0, AttemptOutcome.SERVED, true);
        }
        assertEquals(1, rare.size());
        assertTrue(hot.size() >= 8, "hot prefix on " + hot.size());
    }

    @Test
    void unreachableEndpointIsEjectedUntilItAnswers() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        long home = harness.primaryEndpoint(8);
        harness.arrive(0, 8);
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CONNECT_FAILED, true);
        assertNotEquals(home, harness.primaryEndpoint(8));
        harness.now += 2 * S;
        assertEquals(home, harness.primaryEndpoint(8));
    }

    /** Three replicas of a zone that can't be reached tell of all, as long as none of them answers. */
    @Test
    void unreachableZoneIsEjectedUntilAnEndpointOfItAnswers() {
        for (int zones = 1; zones <= 2; zones++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings());
            int several = zones;
            harness.updateEndpoints(
                    EndpointUpdateKind.FULL,
                    java.util.stream.LongStream.rangeClosed(1, 40)
                            .mapToObj(id -> endpoint(id, EndpointPhase.READY, 0, (int) (id % several)))
                            .toArray(Endpoint[]::new));
            Set<Long> unreachable = new HashSet<>();
            for (long session = 1; unreachable.size() < 3; session++) {
                harness.arrive(0, session);
                if (harness.lastAttempt().endpointId() % several == several - 1) {
                    unreachable.add(harness.lastAttempt().endpointId());
                    harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CONNECT_FAILED, true);
                } else {
                    harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.SERVED, true);
                }
            }
            assertEquals(zones == 1, sentTo(harness, several));
            harness.now += S;
            assertTrue(sentTo(harness, several), "tried again after a second");
            assertTrue(sentTo(harness, several), "answers end it");
        }
    }

    /** Whether any of 60 requests, all of them answered, goes to the last of so many zones. */
    private static boolean sentTo(LoadBalancerHarness harness, int zones) {
        boolean sent = false;
        for (long session = 1000; session < 1060; session++) {
            sent |= harness.primaryEndpoint(session) % zones == zones - 1;
        }
        return sent;
    }

    @Test
    void failedConnectsCostNoRetryBudget() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(20);
        for (long session = 1; session <= 40; session++) {
            harness.now += S;
            harness.arrive(0, session);
            harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CONNECT_FAILED, false);
            harness.endAttempt(harness.lastAttempt(), 1, AttemptOutcome.SERVED, true);
        }
        assertEquals(80, harness.startedAttempts().size());
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void slowStartEndpointReceivesLittleAtFirstAndItsShareOnceWarm() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(4);
        playTraffic(harness, 400);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, harness.now, 0));
        int cold = playTraffic(harness, 400);
        harness.now += 10 * S;
        int warm = playTraffic(harness, 400);
        assertTrue(cold < warm / 2 && warm > 40, cold + " cold, " + warm + " warm");
    }

    @Test
    void slowStartEndsForAnEndpointThatDrainedAndReturned() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(4);
        long start = harness.now;
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, start, 0));
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.DRAINING, start, 0));
        harness.now += 20 * S;
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, start, 0));
        assertTrue(playTraffic(harness, 400) > 40);
    }

    /** So many requests over four seconds; how many of them went to replica 50. */
    private static int playTraffic(LoadBalancerHarness harness, int requests) {
        int at50 = 0;
        for (int i = 0; i < requests; i++) {
            harness.now += 10 * MS;
            at50 += harness.primaryEndpoint(100_000 + i) == 50 ? 1 : 0;
        }
        return at50;
    }

    /** One replica that slows down must neither keep its part of the load nor have sessions refused for it. */
    @Test
    void slowEndpointReceivesLessAndNothingIsRejected() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        int before = attemptsOn(harness, 3, 100 * MS);
        int slow = attemptsOn(harness, 3, 3 * S);
        int after = attemptsOn(harness, 3, 100 * MS);
        assertTrue(slow < before / 2 && after > before / 2, before + ", slow " + slow + ", after " + after);
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
    }

    /** How many of 600 requests replica {@code id} gets if its first tokens take so long; 20 are always out. */
    private static int attemptsOn(LoadBalancerHarness harness, long id, long firstToken) {
        java.util.ArrayDeque<StartAttempt> out = new java.util.ArrayDeque<>();
        int there = 0;
        for (int i = 0; i < 600; i++) {
            harness.now += 10 * MS;
            harness.arrive(0, 50_000 + i);
            StartAttempt send = harness.lastAttempt();
            there += send.endpointId() == id ? 1 : 0;
            harness.startResponse(send, 0, send.endpointId() == id ? firstToken : 100 * MS);
            out.add(send);
            if (out.size() > 20) {
                harness.endAttempt(out.poll(), 0, AttemptOutcome.SERVED, true, 4 * S);
            }
        }
        out.forEach(send -> harness.endAttempt(send, 0, AttemptOutcome.SERVED, true, 4 * S));
        return there;
    }

    /** A stream that has only begun when its replica is replaced is cut: those next in turn get little. */
    @Test
    void oldestEndpointsReceiveLessDuringARollout() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings());
        long start = harness.now - 100 * S;
        harness.updateEndpoints(
                EndpointUpdateKind.FULL,
                java.util.stream.LongStream.rangeClosed(1, 14)
                        .mapToObj(id -> endpoint(id, EndpointPhase.READY, start + id * S, 0))
                        .toArray(Endpoint[]::new));
        int before = attemptsOn(harness, 3, 100 * MS);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(1, EndpointPhase.DRAINING, start + S, 0));
        harness.now += 2 * S;
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(2, EndpointPhase.DRAINING, start + 2 * S, 0));
        int during = attemptsOn(harness, 3, 100 * MS);
        harness.now += 10 * S;
        int after = attemptsOn(harness, 3, 100 * MS);
        assertTrue(during < before * 0.85 && after > during * 1.4, before + ", " + during + " and " + after);
    }

    /** A replica that vanished says nothing: its request goes elsewhere while there is time to be in time. */
    @Test
    void attemptOnASilentEndpointTimesOutEarlyUnlessNotIdempotent() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        harness.arrive(0, 8);
        StartAttempt first = harness.lastAttempt();
        assertEquals(harness.now + S / 2, first.deadline());
        harness.now = first.deadline();
        harness.endAttempt(first, 0, AttemptOutcome.TIMEOUT, false, S / 2);
        assertNotEquals(first.endpointId(), harness.lastAttempt().endpointId());
        assertEquals(harness.now + S / 2, harness.lastAttempt().deadline());
        LoadBalancerHarness unsafe = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL))
                .withReadyEndpoints(5);
        unsafe.arrive(0, 8);
        assertTrue(unsafe.lastAttempt().deadline() >= unsafe.now + S);
    }

    @Test
    void lateFirstTokensShedSessionsUntilTheyRecover() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        run(harness, 100, 900 * MS, S);
        int refused = harness.actionsOf(RejectRequest.class).size();
        assertTrue(refused > 20, "refused " + refused);
        run(harness, 400, 10 * MS, S);
        int before = harness.actionsOf(RejectRequest.class).size();
        run(harness, 100, 10 * MS, S);
        assertEquals(before, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void slowStreamsShedSessionsUntilTheyRecover() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        run(harness, 200, 10 * MS, S);
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
        run(harness, 300, 10 * MS, 6 * S);
        int refused = harness.actionsOf(RejectRequest.class).size();
        assertTrue(refused > 50 && refused < 250, "refused " + refused);
        run(harness, 1500, 10 * MS, S);
        int before = harness.actionsOf(RejectRequest.class).size();
        run(harness, 100, 10 * MS, S);
        assertEquals(before, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void someSessionsPassUnderTheWorstOverload() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        run(harness, 200, 10 * MS, 20 * MS);
        run(harness, 1000, 10 * MS, 3600 * S);
        int before = harness.startedAttempts().size();
        run(harness, 1000, 10 * MS, 3600 * S);
        assertTrue(
                harness.startedAttempts().size() > before + 50,
                "sent " + (harness.startedAttempts().size() - before));
    }

    private static void run(LoadBalancerHarness harness, int requests, long firstToken, long stream) {
        for (int i = 0; i < requests; i++) {
            int before = harness.startedAttempts().size();
            harness.arrive(0, 1 + i);
            if (harness.startedAttempts().size() > before) {
                StartAttempt send = harness.lastAttempt();
                harness.startResponse(send, 0, firstToken);
                harness.endAttempt(send, 0, AttemptOutcome.SERVED, true, firstToken + stream);
            }
        }
    }

    @Test
    void tenantAboveItsShareIsShedFirst() {
        LoadBalancerSettings base = LoadBalancerHarness.idempotentSettings();
        LoadBalancerHarness harness = new LoadBalancerHarness(new LoadBalancerSettings(
                        0,
                        1,
                        0,
                        MS,
                        false,
                        base.discoveryMode(),
                        base.loadReporting(),
                        List.of(),
                        base.requestClasses(),
                        List.of(new LoadBalancerSettings.Tenant(0.5, 1), new LoadBalancerSettings.Tenant(0.5, 1)),
                        base.limits(),
                        base.endpointLifecycle(),
                        base.costs()))
                .withReadyEndpoints(5);
        int[] asked = new int[2];
        int[] served = new int[2];
        for (int i = 0; i < 1200; i++) {
            int tenant = i % 4 == 0 ? 1 : 0;
            int before = harness.startedAttempts().size();
            harness.arrive(0, 1 + i, tenant);
            boolean sent = harness.startedAttempts().size() > before;
            if (i >= 600) {
                asked[tenant]++;
                served[tenant] += sent ? 1 : 0;
            }
            if (sent) {
                StartAttempt send = harness.lastAttempt();
                harness.startResponse(send, 0, i % 2 == 0 ? 900 * MS : MS);
                harness.endAttempt(send, 0, AttemptOutcome.SERVED, true, S);
            }
        }
        double flooding = served[0] / (double) asked[0];
        double modest = served[1] / (double) asked[1];
        assertTrue(modest > flooding + 0.2, flooding + " and " + modest);
    }

    @Test
    void boundWidensOnlyWhenMostRequestsSpill() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(4);
        for (int i = 0; i < 400; i++) {
            harness.arrive(0, 1 + i % 7);
        }
        long most = harness.startedAttempts().stream()
                .skip(300)
                .filter(s ->
                        s.endpointId() == harness.startedAttempts().get(300).endpointId())
                .count();
        int replicas = (int) harness.startedAttempts().stream()
                .map(StartAttempt::endpointId)
                .distinct()
                .count();
        assertEquals(4, replicas);
        assertTrue(most > 0);
        long busiest = harness.startedAttempts().stream()
                .mapToLong(StartAttempt::endpointId)
                .boxed()
                .collect(java.util.stream.Collectors.groupingBy(r -> r, java.util.stream.Collectors.counting()))
                .values()
                .stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        assertTrue(busiest > LoadBound.bound(400, 4, LoadBound.UNWIDENED), "busiest " + busiest);
    }

    /** First events forgive quick failures; a stall in mid-answer only a whole answer does. */
    @Test
    void midStreamStallEjectsUntilACompleteResponse() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {AttemptOutcome.STALLED, AttemptOutcome.RESET}) {
            LoadBalancerHarness harness =
                    new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
            long home = harness.primaryEndpoint(11);
            harness.arrive(0, 11);
            StartAttempt first = harness.lastAttempt();
            harness.arrive(0, 11);
            StartAttempt second = harness.lastAttempt();
            assertEquals(home, second.endpointId());
            harness.startResponse(first, 0, 100 * MS);
            harness.endAttempt(first, 0, outcome, true);
            harness.startResponse(second, 0, 100 * MS);
            assertEquals(outcome == AttemptOutcome.RESET, home == harness.primaryEndpoint(11));
            harness.endAttempt(second, 0, AttemptOutcome.SERVED, true);
            assertEquals(home, harness.primaryEndpoint(11));
        }
    }

    /** Before its first event a stall is one more attempt that was in vain. */
    @Test
    void stallBeforeTheFirstTokenIsRetried() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(5);
        harness.arrive(0, 11);
        StartAttempt first = harness.lastAttempt();
        harness.endAttempt(first, 0, AttemptOutcome.STALLED, false);
        assertEquals(2, harness.startedAttempts().size());
        assertNotEquals(first.endpointId(), harness.lastAttempt().endpointId());
    }

    /**
     * Answers of microseconds that came to take milliseconds on a busy machine once had a quiet node refuse sessions.
     */
    @Test
    void veryShortStreamsShedNothing() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings()).withReadyEndpoints(4);
        for (int i = 0; i < 800; i++) {
            harness.arrive(0, i);
            StartAttempt send = harness.lastAttempt();
            long stream = i < 400 ? 20_000 : 40 * MS;
            harness.startResponse(send, 0, 100_000);
            harness.endAttempt(send, 0, AttemptOutcome.SERVED, true, 100_000 + stream);
            assertTrue(harness.actionsOf(RejectRequest.class).isEmpty(), "request " + i);
        }
    }
}
