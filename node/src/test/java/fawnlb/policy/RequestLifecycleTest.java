package fawnlb.policy;

import static fawnlb.policy.LoadBalancerHarness.S;
import static fawnlb.policy.LoadBalancerHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerAction;
import fawnlb.decision.LoadBalancerAction.FailRequest;
import fawnlb.decision.LoadBalancerAction.RejectRequest;
import fawnlb.decision.LoadBalancerAction.StartAttempt;
import fawnlb.decision.LoadBalancerAction.WatchEndpoints;
import fawnlb.decision.LoadBalancerEvent;
import fawnlb.decision.LoadBalancerEvent.RequestArrived;
import fawnlb.decision.LoadBalancerEvent.TimerFired;
import fawnlb.decision.LoadBalancerSettings.Limits;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The life of requests, from their arrival over attempts and retries to the final answer. */
class RequestLifecycleTest {
    /** A load balancer after the only attempt of its first request has ended like this. */
    private static LoadBalancerHarness after(Idempotency idempotency, IdempotencyScope scope, AttemptOutcome outcome) {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(6, idempotency, scope);
        harness.arrive(0, 9);
        harness.endAttempt(harness.lastAttempt(), 0, outcome, false);
        return harness;
    }

    @Test
    void idempotentRequestsAreRetriedOnAnotherEndpoint() {
        List<StartAttempt> attempts = after(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, AttemptOutcome.ERROR)
                .startedAttempts();
        assertEquals(2, attempts.size());
        assertNotEquals(attempts.get(0).endpointId(), attempts.get(1).endpointId());
    }

    @Test
    void nonIdempotentRequestsThatMayHaveRunFailWithoutRetry() {
        LoadBalancerHarness harness = after(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, AttemptOutcome.RESET);
        assertEquals(1, harness.startedAttempts().size());
        assertEquals(1, harness.actionsOf(FailRequest.class).size());
        assertEquals(0, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void nonIdempotentRequestsThatNeverRanAreRetried() {
        assertEquals(
                2,
                after(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, AttemptOutcome.FULL)
                        .startedAttempts()
                        .size());
    }

    @Test
    void requestsWithIdempotencyKeysAreRetriedWithinTheirScope() {
        LoadBalancerHarness zone = after(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ZONE, AttemptOutcome.ERROR);
        assertEquals(2, zone.startedAttempts().size());
        assertEquals(
                zone.startedAttempts().get(0).endpointId().ringSeed() % 3,
                zone.startedAttempts().get(1).endpointId().ringSeed() % 3);
        LoadBalancerHarness cell = after(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL, AttemptOutcome.ERROR);
        assertEquals(1, cell.startedAttempts().size());
        assertEquals(1, cell.actionsOf(FailRequest.class).size());
    }

    @Test
    void requestsWithIdempotencyKeysAreNotRetriedAfterTheirWindow() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.withEndpoints(6, Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL);
        harness.arrive(0, 9);
        harness.now += 5 * S;
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.ERROR, false);
        assertEquals(1, harness.startedAttempts().size());
        assertEquals(1, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void unknownRequestClassesAreNotIdempotent() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(3);
        harness.loadBalancer.onEvent(
                harness.now, new RequestArrived(1, 9, 0, 1, 0, S, 0, 1, 0, 1, false, false, false));
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.ERROR, false);
        assertEquals(1, harness.startedAttempts().size());
        assertEquals(1, harness.actionsOf(FailRequest.class).size());
    }

    @Test
    void requestIsRejectedOnceOnTimeout() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(6);
        harness.arrive(0, 9);
        harness.now += 4 * S;
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.TIMEOUT, false);
        assertEquals(1, harness.startedAttempts().size());
        assertEquals(1, harness.actionsOf(RejectRequest.class).size());
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.TIMEOUT, true);
        assertEquals(1, harness.actionsOf(RejectRequest.class).size());
    }

    @Test
    void finishedRequestsAreNotRetried() {
        assertEquals(1, endOver().startedAttempts().size());
        assertEquals(0, endOver().actionsOf(RejectRequest.class).size());
    }

    private static LoadBalancerHarness endOver() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(6);
        harness.arrive(0, 9);
        harness.startResponse(harness.lastAttempt(), 0, 1000);
        harness.now += 20 * S;
        harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.RESET, true);
        return harness;
    }

    @Test
    void requestIsQueuedWithoutEndpointsAndRejectedBeforeItsDeadline() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings())
                .updateEndpoints(EndpointUpdateKind.CACHED);
        harness.arrive(1, 2);
        assertEquals(1, harness.actionsOf(LoadBalancerAction.SetTimer.class).size());
        long end = harness.now + 4 * S;
        while (harness.actionsOf(RejectRequest.class).isEmpty() && harness.now < end) {
            LoadBalancerAction.SetTimer timer = harness.actionsOf(LoadBalancerAction.SetTimer.class)
                    .get(harness.actionsOf(LoadBalancerAction.SetTimer.class).size() - 1);
            harness.now = timer.dueAt();
            harness.loadBalancer.onEvent(harness.now, new TimerFired(timer.token()));
        }
        assertEquals(1, harness.actionsOf(RejectRequest.class).size());
        assertTrue(harness.now < end);
    }

    @Test
    void queuedRequestIsStartedWhenAnEndpointJoins() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings())
                .updateEndpoints(EndpointUpdateKind.CACHED, endpoint(1, EndpointPhase.DRAINING, 0, 0));
        harness.arrive(1, 2);
        assertEquals(0, harness.startedAttempts().size());
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(2, EndpointPhase.READY, 0, 0));
        assertEquals(2, harness.lastAttempt().endpointId().ringSeed());
    }

    @Test
    void malformedNumbersLoseNoRequest() {
        for (double odd : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -5, 0}) {
            for (long expires : new long[] {0, -1, Long.MAX_VALUE}) {
                LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(2);
                harness.loadBalancer.onEvent(
                        harness.now, new RequestArrived(1, 0, 99, 0, 0, expires, -3, odd, odd, odd, true, true, true));
                assertEquals(
                        1,
                        harness.startedAttempts().size()
                                + harness.actionsOf(RejectRequest.class).size());
            }
        }
    }

    @Test
    void eventsOfUnknownRequestsAreIgnored() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(2);
        StartAttempt stranger = new StartAttempt(55, EndpointId.ofNumber(1), 0);
        harness.endAttempt(stranger, 0, AttemptOutcome.SERVED, true);
        harness.startResponse(stranger, 3, 1);
        harness.loadBalancer.onEvent(harness.now, new LoadBalancerEvent.ClientDisconnected(55));
        harness.loadBalancer.onEvent(harness.now, new TimerFired(-7));
        harness.loadBalancer.onEvent(harness.now, new LoadBalancerEvent.PeerMessage(1, new byte[3]));
        harness.loadBalancer.onEvent(
                harness.now,
                new LoadBalancerEvent.HealthChecked(
                        EndpointId.ofNumber(1), AttemptOutcome.SERVED, 1, List.of(Double.NaN)));
        assertEquals(List.of(), harness.actions);
    }

    @Test
    void retriesStayWithinTheBudget() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(30);
        int tries = 200;
        for (int i = 0; i < tries; i++) {
            long id = harness.arrive(0, 1000 + i);
            for (int attempt = 0; harness.lastAttempt().requestId() == id && attempt < 4; attempt++) {
                int before = harness.startedAttempts().size();
                harness.endAttempt(harness.lastAttempt(), attempt, AttemptOutcome.FULL, false);
                if (harness.startedAttempts().size() == before) {
                    break;
                }
            }
        }
        assertTrue(
                harness.startedAttempts().size() <= tries * (1 + RetryBudget.RETRIES_PER_REQUEST) + RetryBudget.BURST);
    }

    @Test
    void lostWatchIsReopenedOnceAtATime() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.watchingSettings(1, 0))
                .updateEndpoints(EndpointUpdateKind.CACHED, endpoint(1, EndpointPhase.READY, 0, 0));
        fireLastTimer(harness);
        harness.loadBalancer.onEvent(harness.now, new TimerFired(0));
        assertEquals(1, harness.actionsOf(WatchEndpoints.class).size());
        harness.updateEndpoints(EndpointUpdateKind.FAILED);
        fireLastTimer(harness);
        assertEquals(2, harness.actionsOf(WatchEndpoints.class).size());
        harness.updateEndpoints(EndpointUpdateKind.DELTA);
        fireLastTimer(harness);
        assertEquals(2, harness.actionsOf(WatchEndpoints.class).size());
    }

    @Test
    void unansweredWatchCallIsRepeated() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.watchingSettings(1, 0))
                .updateEndpoints(EndpointUpdateKind.CACHED, endpoint(1, EndpointPhase.READY, 0, 0));
        fireLastTimer(harness);
        fireLastTimer(harness);
        assertEquals(2, harness.actionsOf(WatchEndpoints.class).size());
    }

    @Test
    void pushedEndpointsAreNotWatched() {
        LoadBalancerHarness harness = new LoadBalancerHarness(LoadBalancerHarness.idempotentSettings())
                .updateEndpoints(EndpointUpdateKind.CACHED, endpoint(1, EndpointPhase.READY, 0, 0));
        assertEquals(List.of(), harness.actions);
    }

    @Test
    void clientDisconnectCancelsItsAttemptOnlyWhereAllowed() {
        for (boolean allowed : new boolean[] {true, false}) {
            boolean hedging = false;
            TestSettings settings = new TestSettings().limits(new Limits(4, 1000, hedging, allowed, false, false, 0));
            LoadBalancerHarness harness = new LoadBalancerHarness(settings.build()).withReadyEndpoints(4);
            long id = harness.arrive(0, 5);
            harness.loadBalancer.onEvent(harness.now, new LoadBalancerEvent.ClientDisconnected(id));
            assertEquals(
                    allowed ? 1 : 0,
                    harness.actionsOf(LoadBalancerAction.CancelAttempt.class).size());
            harness.endAttempt(harness.lastAttempt(), 0, AttemptOutcome.CANCELLED, true);
            assertEquals(1, harness.startedAttempts().size());
        }
    }

    @Test
    void restartUnderTheSameIdBeginsSlowStart() {
        LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(3);
        long primary = harness.primaryEndpoint(4);
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA, endpoint(primary, EndpointPhase.READY, harness.now, (int) (primary % 3)));
        assertNotEquals(primary, harness.primaryEndpoint(4));
        harness.now += 10 * S;
        assertEquals(primary, harness.primaryEndpoint(4));
    }

    @Test
    void randomEventOrdersKeepOneAttemptAndOneFinalAnswer() {
        for (int seed = 0; seed < 30; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            LoadBalancerHarness harness = LoadBalancerHarness.withEndpoints(
                    8, Idempotency.values()[seed % 3], IdempotencyScope.values()[seed / 3 % 3]);
            for (int i = 0; i < 200; i++) {
                harness.now += random.nextInt(50) * LoadBalancerHarness.MS;
                if (random.nextInt(5) == 0) {
                    updateRandomEndpoint(harness, random);
                }
                long id = harness.arrive(random.nextInt(4), random.nextInt(9));
                long end = harness.now + 4 * S;
                awaitAttemptOrAnswer(harness, id, end);
                boolean served = endAttempts(harness, id, random);
                assertEquals(1, finalAnswers(harness, id) + (served ? 1 : 0), "seed " + seed + " request " + id);
                assertTrue(harness.now < end);
            }
        }
    }

    private static void updateRandomEndpoint(LoadBalancerHarness harness, SplittableRandom random) {
        EndpointPhase phase = EndpointPhase.values()[random.nextInt(3)];
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA, endpoint(1 + random.nextInt(8), phase, harness.now, random.nextInt(3)));
        harness.updateEndpoints(EndpointUpdateKind.DELTA, endpoint(20, EndpointPhase.READY, 0, 0));
    }

    private static void awaitAttemptOrAnswer(LoadBalancerHarness harness, long id, long end) {
        while (attempts(harness, id) == 0 && finalAnswers(harness, id) == 0 && harness.now < end) {
            harness.now += 5 * LoadBalancerHarness.MS;
            harness.loadBalancer.onEvent(harness.now, new TimerFired(1));
        }
    }

    /** Ends each attempt of a request at random, and says whether one of them was served. */
    private static boolean endAttempts(LoadBalancerHarness harness, long id, SplittableRandom random) {
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        boolean served = false;
        for (int attempt = 0; attempt < attempts(harness, id); attempt++) {
            assertEquals(attempt + 1, attempts(harness, id));
            AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
            served |= outcome == AttemptOutcome.SERVED;
            harness.endAttempt(harness.lastAttempt(), attempt, outcome, served);
        }
        return served;
    }

    private static long finalAnswers(LoadBalancerHarness harness, long id) {
        return harness.actions.stream()
                .filter(a -> a instanceof RejectRequest r && r.requestId() == id
                        || a instanceof FailRequest f && f.requestId() == id)
                .count();
    }

    private static int attempts(LoadBalancerHarness harness, long id) {
        return (int) harness.startedAttempts().stream()
                .filter(started -> started.requestId() == id)
                .count();
    }

    private static void fireLastTimer(LoadBalancerHarness harness) {
        LoadBalancerAction.SetTimer timer = harness.actionsOf(LoadBalancerAction.SetTimer.class)
                .get(harness.actionsOf(LoadBalancerAction.SetTimer.class).size() - 1);
        assertTrue(timer.dueAt() <= harness.now + 5 * S);
        harness.now = Math.max(harness.now, timer.dueAt());
        harness.loadBalancer.onEvent(harness.now, new TimerFired(timer.token()));
    }
}
