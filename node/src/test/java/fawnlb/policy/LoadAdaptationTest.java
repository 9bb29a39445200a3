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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** How selection adapts to hot prefixes, to failing, slow and starting endpoints, and to rollouts. */
class LoadAdaptationTest {
    @Test
    void rarePrefixStaysOnOneEndpointAndAHotOneSpreads() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(20);
        Set<Long> rare = new HashSet<>();
        Set<Long> hot = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            boolean isRare = i % 150 == 149;
            harness.arrive(isRare ? 5000 : i % 2 == 0 ? 6000 : 10_000 + i, 1 + i);
            StartAttempt started = harness.lastAttempt();
            if (i > 300 && isRare) {
                rare.add(started.endpointId().ringSeed());
            } else if (i > 300 && i % 2 == 0) {
                hot.add(started.endpointId().ringSeed());
            }
            harness.endAttempt(started, 0, AttemptOutcome.SERVED, true);
        }
        assertEquals(1, rare.size());
        assertTrue(hot.size() >= 8, "hot prefix on " + hot.size());
    }

    @Test
    void unreachableEndpointIsEjectedUntilItAnswers() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        long primary = harness.primaryEndpoint(8);
        harness.arrive(0, 8);
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CONNECT_FAILED, true);
        assertNotEquals(primary, harness.primaryEndpoint(8));
        harness.now += 2 * S;
        assertEquals(primary, harness.primaryEndpoint(8));
    }

    /** Three unreachable endpoints of a zone stand for all of it, as long as none of them answers. */
    @Test
    void unreachableZoneIsEjectedUntilAnEndpointOfItAnswers() {
        for (int zones = 1; zones <= 2; zones++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings());
            int several = zones;
            harness.updateEndpoints(
                    EndpointUpdateKind.FULL,
                    LongStream.rangeClosed(1, 40)
                            .mapToObj(id -> endpoint(id, EndpointPhase.READY, 0, (int) (id % several)))
                            .toArray(Endpoint[]::new));
            Set<Long> unreachable = new HashSet<>();
            for (long session = 1; unreachable.size() < 3; session++) {
                harness.arrive(0, session);
                if (harness.lastAttempt().endpointId().ringSeed() % several == several - 1) {
                    unreachable.add(harness.lastAttempt().endpointId().ringSeed());
                    harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CONNECT_FAILED, true);
                } else {
                    harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.SERVED, true);
                }
            }
            assertEquals(zones == 1, sentTo(harness, several));
            harness.now += S;
            assertTrue(sentTo(harness, several), "retried after a second");
            assertTrue(sentTo(harness, several), "answers end it");
        }
    }

    /** Whether any of 60 requests, all of which are served, goes to the last zone. */
    private static boolean sentTo(LoadBalancerHarness harness, int zones) {
        boolean sent = false;
        for (long session = 1000; session < 1060; session++) {
            sent |= harness.primaryEndpoint(session) % zones == zones - 1;
        }
        return sent;
    }

    @Test
    void failedConnectsCostNoRetryBudget() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(20);
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
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(4);
        playTraffic(harness, 400);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, harness.now, 0));
        int inSlowStart = playTraffic(harness, 400);
        harness.now += 10 * S;
        int warm = playTraffic(harness, 400);
        assertTrue(inSlowStart < warm / 2 && warm > 40, inSlowStart + " in slow start, " + warm + " warm");
    }

    @Test
    void slowStartEndsForAnEndpointThatDrainedAndReturned() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(4);
        long start = harness.now;
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, start, 0));
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.DRAINING, start, 0));
        harness.now += 20 * S;
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(50, EndpointPhase.READY, start, 0));
        assertTrue(playTraffic(harness, 400) > 40);
    }

    /** Serves requests, 100 a second, and returns how many of them endpoint 50 received. */
    private static int playTraffic(LoadBalancerHarness harness, int requests) {
        int at50 = 0;
        for (int i = 0; i < requests; i++) {
            harness.now += 10 * MS;
            at50 += harness.primaryEndpoint(100_000 + i) == 50 ? 1 : 0;
        }
        return at50;
    }

    /** One endpoint that slows down must neither keep its share of the load nor cause rejections. */
    @Test
    void slowEndpointReceivesLessAndNothingIsRejected() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        int before = attemptsOn(harness, 3, 100 * MS);
        int slow = attemptsOn(harness, 3, 3 * S);
        int after = attemptsOn(harness, 3, 100 * MS);
        assertTrue(slow < before / 2 && after > before / 2, before + ", slow " + slow + ", after " + after);
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
    }

    /** How many of 600 requests an endpoint receives if its first tokens take this long; 20 are always in flight. */
    private static int attemptsOn(LoadBalancerHarness harness, long id, long firstToken) {
        Deque<StartAttempt> inFlight = new ArrayDeque<>();
        int received = 0;
        for (int i = 0; i < 600; i++) {
            harness.now += 10 * MS;
            harness.arrive(0, 50_000 + i);
            StartAttempt started = harness.lastAttempt();
            received += started.endpointId().ringSeed() == id ? 1 : 0;
            harness.startResponse(started, 0, started.endpointId().ringSeed() == id ? firstToken : 100 * MS);
            inFlight.add(started);
            if (inFlight.size() > 20) {
                harness.endAttempt(inFlight.poll(), 0, AttemptOutcome.SERVED, true, 4 * S);
            }
        }
        inFlight.forEach(started -> harness.endAttempt(started, 0, AttemptOutcome.SERVED, true, 4 * S));
        return received;
    }

    /** A stream that has only begun when its endpoint is replaced is cut: those replaced next receive little. */
    @Test
    void oldestEndpointsReceiveLessDuringARollout() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings());
        long start = harness.now - 100 * S;
        harness.updateEndpoints(
                EndpointUpdateKind.FULL,
                LongStream.rangeClosed(1, 14)
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

    /** An endpoint that vanished is silent: its request is retried while there is time to meet the objective. */
    @Test
    void attemptOnASilentEndpointTimesOutEarlyUnlessNotIdempotent() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        harness.arrive(0, 8);
        StartAttempt first = harness.lastAttempt();
        assertEquals(harness.now + S / 2, first.deadline());
        harness.now = first.deadline();
        harness.endAttempt(first, 0, AttemptOutcome.TIMEOUT, false, S / 2);
        assertNotEquals(first.endpointId(), harness.lastAttempt().endpointId());
        assertEquals(harness.now + S / 2, harness.lastAttempt().deadline());
        LoadBalancerHarness nonIdempotent =
                LoadBalancerHarness.withEndpoints(5, Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL);
        nonIdempotent.arrive(0, 8);
        assertTrue(nonIdempotent.lastAttempt().deadline() >= nonIdempotent.now + S);
    }

    @Test
    void boundWidensOnlyWhenMostRequestsSpill() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(4);
        for (int i = 0; i < 400; i++) {
            harness.arrive(0, 1 + i % 7);
        }
        long most = harness.startedAttempts().stream()
                .skip(300)
                .filter(s ->
                        s.endpointId().equals(harness.startedAttempts().get(300).endpointId()))
                .count();
        int endpoints = (int) harness.startedAttempts().stream()
                .map(StartAttempt::endpointId)
                .distinct()
                .count();
        assertEquals(4, endpoints);
        assertTrue(most > 0);
        long busiest = harness.startedAttempts().stream()
                .map(StartAttempt::endpointId)
                .collect(Collectors.groupingBy(r -> r, Collectors.counting()))
                .values()
                .stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        assertTrue(busiest > LoadBound.bound(400, 4, LoadBound.UNWIDENED), "busiest " + busiest);
    }

    /** A first token forgives quick failures; a stall of a stream is forgiven by a complete response only. */
    @Test
    void midStreamStallEjectsUntilACompleteResponse() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {AttemptOutcome.STALLED, AttemptOutcome.RESET}) {
            LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
            long primary = harness.primaryEndpoint(11);
            harness.arrive(0, 11);
            StartAttempt first = harness.lastAttempt();
            harness.arrive(0, 11);
            StartAttempt second = harness.lastAttempt();
            assertEquals(primary, second.endpointId().ringSeed());
            harness.startResponse(first, 0, 100 * MS);
            harness.endAttempt(first, 0, outcome, true);
            harness.startResponse(second, 0, 100 * MS);
            assertEquals(outcome == AttemptOutcome.RESET, primary == harness.primaryEndpoint(11));
            harness.endAttempt(second, 0, AttemptOutcome.SERVED, true);
            assertEquals(primary, harness.primaryEndpoint(11));
        }
    }

    /** A stall before the first token is a failed attempt like any other. */
    @Test
    void stallBeforeTheFirstTokenIsRetried() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(5);
        harness.arrive(0, 11);
        StartAttempt first = harness.lastAttempt();
        harness.endAttempt(first, 0, AttemptOutcome.STALLED, false);
        assertEquals(2, harness.startedAttempts().size());
        assertNotEquals(first.endpointId(), harness.lastAttempt().endpointId());
    }
}
