package fawnlb.restore;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.AttemptOutcome;
import fawnlb.decision.Endpoint;
import fawnlb.decision.EndpointId;
import fawnlb.decision.EndpointPhase;
import fawnlb.decision.EndpointUpdateKind;
import fawnlb.decision.LoadBalancerEvent.AttemptEnded;
import fawnlb.decision.LoadBalancerEvent.EndpointsUpdated;
import fawnlb.decision.LoadBalancerEvent.ResponseStarted;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.Test;

public class RestoredEndpointFilterTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_HOUR = 3600 * NANOS_PER_SECOND;
    private static final long NOW = 1_000_000 * NANOS_PER_SECOND;
    private static final long UNKNOWN_AGE = -1;
    private static final long WARM_UP_NANOS = 9 * NANOS_PER_SECOND;
    private static final long[] FOURTEEN_IDS = LongStream.rangeClosed(1, 14).toArray();
    private static final int UNLIMITED = Endpoint.UNLIMITED_CAPACITY;

    /** The limit of each endpoint that the load balancer knows, as the filter has last shown it. */
    private final Map<Long, Integer> publishedLimits = new HashMap<>();

    private static RestoreSettings settings(long emptyListHoldNanos) {
        int requiredResponses = 3;
        int fleetPendingLimit = 8;
        int instanceCount = 3;
        int minConcurrentTrials = 3;
        return new RestoreSettings(
                NANOS_PER_HOUR,
                requiredResponses,
                WARM_UP_NANOS,
                fleetPendingLimit,
                instanceCount,
                minConcurrentTrials,
                NANOS_PER_SECOND,
                16 * NANOS_PER_SECOND,
                emptyListHoldNanos);
    }

    private static RestoredEndpointFilter filter(Map<EndpointId, Long> lastContactAt) {
        return new RestoredEndpointFilter(settings(0), 1, lastContactAt, line -> {});
    }

    private static Map<EndpointId, Long> contactsOfAge(long ageNanos, long... ids) {
        long contactAt = ageNanos == UNKNOWN_AGE ? 0 : NOW - ageNanos;
        return LongStream.of(ids).boxed().collect(Collectors.toMap(EndpointId::ofNumber, id -> contactAt));
    }

    private static EndpointsUpdated update(EndpointUpdateKind kind, long... readyIds) {
        return new EndpointsUpdated(
                kind,
                1,
                LongStream.of(readyIds)
                        .mapToObj(id -> endpoint(id, EndpointPhase.READY))
                        .toList());
    }

    private static Endpoint endpoint(long id, EndpointPhase phase) {
        return new Endpoint(EndpointId.ofNumber(id), phase, 0, 1, 0, 0, 0);
    }

    private static EndpointsUpdated failure(EndpointUpdateKind kind) {
        return new EndpointsUpdated(kind, 0, List.of());
    }

    private static Map<Long, Integer> unlimited(long... ids) {
        return LongStream.of(ids).boxed().collect(Collectors.toMap(id -> id, id -> UNLIMITED));
    }

    /** Takes what the filter shows to the load balancer into {@link #publishedLimits}. */
    private EndpointsUpdated apply(EndpointsUpdated published) {
        if (published == null) {
            return null;
        }
        if (published.kind() == EndpointUpdateKind.FULL || published.kind() == EndpointUpdateKind.CACHED) {
            publishedLimits.clear();
        }
        published
                .endpoints()
                .forEach(endpoint -> publishedLimits.put(endpoint.id().ringSeed(), endpoint.capacity()));
        published.endpoints().stream()
                .filter(endpoint -> endpoint.phase() == EndpointPhase.GONE)
                .forEach(endpoint -> publishedLimits.remove(endpoint.id().ringSeed()));
        return published;
    }

    private EndpointsUpdated receive(RestoredEndpointFilter filter, long at, EndpointsUpdated update) {
        return apply(filter.onEndpointsUpdated(at, update));
    }

    private EndpointsUpdated wakeUp(RestoredEndpointFilter filter, long at) {
        return apply(filter.onWakeup(at));
    }

    private void respond(RestoredEndpointFilter filter, long at, long id) {
        apply(filter.onEvent(at, new ResponseStarted(1, 0, EndpointId.ofNumber(id), 1)));
    }

    private void endAttempt(RestoredEndpointFilter filter, long at, long id, AttemptOutcome outcome) {
        apply(filter.onEvent(at, new AttemptEnded(1, 0, EndpointId.ofNumber(id), outcome, false, 1, 0, List.of())));
    }

    /** Restores these endpoints, with a discovery that fails at once. */
    private RestoredEndpointFilter restoreWithFailedDiscovery(RestoredEndpointFilter filter, long... ids) {
        receive(filter, NOW, update(EndpointUpdateKind.CACHED, ids));
        filter.onEndpointsUpdated(NOW, failure(EndpointUpdateKind.FAILED));
        wakeUp(filter, NOW);
        return filter;
    }

    private RestoredEndpointFilter startWithFailedDiscovery(long ageNanos, long... ids) {
        return restoreWithFailedDiscovery(filter(contactsOfAge(ageNanos, ids)), ids);
    }

    private RestoredEndpointFilter startHoldingEmptyLists(long holdNanos, long... ids) {
        Map<EndpointId, Long> lastContactAt = contactsOfAge(NANOS_PER_SECOND, ids);
        return restoreWithFailedDiscovery(
                new RestoredEndpointFilter(settings(holdNanos), 1, lastContactAt, line -> {}), ids);
    }

    @Test
    public void concurrentTrialsEqualTheExpectedEndpoints() {
        Map<Long, Integer> trialsByAge =
                Map.of(60 * NANOS_PER_SECOND, 14, NANOS_PER_HOUR, 7, 24 * NANOS_PER_HOUR, 3, UNKNOWN_AGE, 7);
        trialsByAge.forEach((ageNanos, trials) -> {
            startWithFailedDiscovery(ageNanos, FOURTEEN_IDS);

            long tried =
                    publishedLimits.values().stream().filter(limit -> limit > 0).count();
            assertEquals(ageNanos.toString(), (int) trials, tried);
        });
    }

    @Test
    public void mostRecentlyContactedIsTriedFirstAndAResponseAdmitsTheNext() {
        Map<EndpointId, Long> lastContactAt = Map.of(
                EndpointId.ofNumber(1), NOW - 48 * NANOS_PER_HOUR,
                EndpointId.ofNumber(2), NOW - 24 * NANOS_PER_HOUR,
                EndpointId.ofNumber(3), NOW - 30 * NANOS_PER_HOUR,
                EndpointId.ofNumber(4), NOW - 40 * NANOS_PER_HOUR);
        RestoredEndpointFilter filter = restoreWithFailedDiscovery(filter(lastContactAt), 1, 2, 3, 4);
        assertEquals(Map.of(1L, 0, 2L, 1, 3L, 1, 4L, 1), publishedLimits);

        respond(filter, NOW + NANOS_PER_SECOND, 2);

        assertEquals(Map.of(1L, 1, 2L, 2, 3L, 1, 4L, 1), publishedLimits);
    }

    /** Three instances share a limit of eight. */
    @Test
    public void pendingLimitGrowsWithResponsesAndIsLiftedAfterWarmUp() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(2 * NANOS_PER_HOUR, 1);
        int[] expectedLimits = {1, 2, 2, 2};
        for (int i = 0; i < expectedLimits.length; i++) {
            assertEquals(expectedLimits[i], (int) publishedLimits.get(1L));
            respond(filter, NOW + i * NANOS_PER_SECOND, 1);
        }
        assertEquals(RestoredEndpointState.HALF_OPEN, filter.stateOf(EndpointId.ofNumber(1)));
        assertEquals(NOW + WARM_UP_NANOS, filter.nextWakeupAt());

        wakeUp(filter, NOW + WARM_UP_NANOS);

        assertEquals(RestoredEndpointState.HEALTHY, filter.stateOf(EndpointId.ofNumber(1)));
        assertEquals(UNLIMITED, (int) publishedLimits.get(1L));
    }

    @Test
    public void freshEndpointHasItsWholeLimitAtOnce() {
        startWithFailedDiscovery(NANOS_PER_SECOND, 1);

        assertEquals(2, (int) publishedLimits.get(1L));
    }

    @Test
    public void failedAttemptEjectsAnEndpointOnTrial() {
        Set<AttemptOutcome> harmless =
                EnumSet.of(AttemptOutcome.SERVED, AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            RestoredEndpointFilter filter = startWithFailedDiscovery(NANOS_PER_SECOND, 1);

            endAttempt(filter, NOW, 1, outcome);

            boolean ejected = filter.stateOf(EndpointId.ofNumber(1)) == RestoredEndpointState.EJECTED;
            assertEquals(outcome.toString(), !harmless.contains(outcome), ejected);
        }
    }

    @Test
    public void ejectionDoublesWithEachFailureUpToTheMaximum() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(NANOS_PER_SECOND, 1);
        long now = NOW;
        for (long ejectionSeconds : new long[] {1, 2, 4, 8, 16, 16}) {
            long ejectedUntil = now + ejectionSeconds * NANOS_PER_SECOND;

            endAttempt(filter, now, 1, AttemptOutcome.CONNECT_FAILED);

            assertEquals(0, (int) publishedLimits.get(1L));
            assertEquals(ejectedUntil, filter.nextWakeupAt());
            assertNull(filter.onWakeup(ejectedUntil - 1));
            wakeUp(filter, ejectedUntil);
            assertEquals(1, (int) publishedLimits.get(1L));
            now = ejectedUntil;
        }
        respond(filter, now, 1);
        endAttempt(filter, now, 1, AttemptOutcome.TIMEOUT);
        assertEquals("a response resets the backoff", now + NANOS_PER_SECOND, filter.nextWakeupAt());
    }

    @Test
    public void healthyEndpointIsEjectedOnlyWhenConnectsFail() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(NANOS_PER_SECOND, 1);
        for (int i = 0; i < 3; i++) {
            respond(filter, NOW, 1);
        }
        wakeUp(filter, NOW + WARM_UP_NANOS);

        endAttempt(filter, NOW + 10 * NANOS_PER_SECOND, 1, AttemptOutcome.TIMEOUT);
        assertEquals(RestoredEndpointState.HEALTHY, filter.stateOf(EndpointId.ofNumber(1)));

        endAttempt(filter, NOW + 10 * NANOS_PER_SECOND, 1, AttemptOutcome.CONNECT_FAILED);
        assertEquals(RestoredEndpointState.EJECTED, filter.stateOf(EndpointId.ofNumber(1)));
    }

    @Test
    public void throttledDiscoveryDelaysTrialsOfRestoredEndpoints() {
        long trialsAt = NOW + RestoredEndpointFilter.MAX_THROTTLED_WAIT_NANOS;
        RestoredEndpointFilter filter = filter(Map.of());
        receive(filter, NOW, update(EndpointUpdateKind.CACHED, 1));

        filter.onEndpointsUpdated(NOW + 2 * NANOS_PER_SECOND, failure(EndpointUpdateKind.THROTTLED));

        assertEquals(0, (int) publishedLimits.get(1L));
        assertEquals(trialsAt, filter.nextWakeupAt());
        assertNull(filter.onWakeup(trialsAt - 1));
        wakeUp(filter, trialsAt);
        assertEquals(1, (int) publishedLimits.get(1L));
    }

    @Test
    public void fullListFromDiscoveryReplacesRestoredEndpoints() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(48 * NANOS_PER_HOUR, 1, 2, 3, 4, 5);

        receive(filter, NOW, update(EndpointUpdateKind.FULL, 1, 9));

        assertEquals(unlimited(1, 9), publishedLimits);
        assertNull(filter.stateOf(EndpointId.ofNumber(1)));
    }

    @Test
    public void cachedListAfterDiscoveryHasAnsweredIsNotLimited() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(48 * NANOS_PER_HOUR, 1, 2, 3, 4, 5);
        receive(filter, NOW, update(EndpointUpdateKind.FULL, 1, 9));

        receive(filter, NOW, update(EndpointUpdateKind.CACHED, 7));

        assertEquals(unlimited(7), publishedLimits);
    }

    @Test
    public void changesFromDiscoveryReleaseAllOtherRestoredEndpoints() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(48 * NANOS_PER_HOUR, 1, 2, 3, 4, 5);
        List<Endpoint> changes = List.of(endpoint(1, EndpointPhase.GONE), endpoint(2, EndpointPhase.DRAINING));

        receive(filter, NOW, new EndpointsUpdated(EndpointUpdateKind.DELTA, 2, changes));

        assertEquals(unlimited(2, 3, 4, 5), publishedLimits);
        assertEquals(RestoredEndpointFilter.NEVER, filter.nextWakeupAt());
    }

    @Test
    public void failedDiscoveryCallChangesNothing() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(NANOS_PER_SECOND, 1);
        EndpointsUpdated failed = failure(EndpointUpdateKind.FAILED);

        assertEquals(failed, filter.onEndpointsUpdated(NOW, failed));
        assertEquals(RestoredEndpointState.HALF_OPEN, filter.stateOf(EndpointId.ofNumber(1)));
    }

    @Test
    public void emptyListIsAppliedAtOnceWhereNoHoldIsConfigured() {
        RestoredEndpointFilter filter = startWithFailedDiscovery(NANOS_PER_SECOND, 1, 2);

        receive(filter, NOW, update(EndpointUpdateKind.FULL));

        assertEquals(Map.of(), publishedLimits);
    }

    @Test
    public void emptyListIsHeldForTheConfiguredTime() {
        long heldUntil = NOW + 5 * NANOS_PER_SECOND;
        RestoredEndpointFilter filter = startHoldingEmptyLists(5 * NANOS_PER_SECOND, 1, 2);

        EndpointsUpdated published = receive(filter, NOW, update(EndpointUpdateKind.FULL));

        assertEquals("the watch counts as open", EndpointUpdateKind.DELTA, published.kind());
        assertEquals(2, publishedLimits.size());
        receive(filter, NOW + NANOS_PER_SECOND, update(EndpointUpdateKind.FULL));
        assertEquals("a second empty list does not extend the hold", heldUntil, filter.nextWakeupAt());
        wakeUp(filter, heldUntil);
        assertEquals(Map.of(), publishedLimits);
    }

    @Test
    public void changesWhileAnEmptyListIsHeldReplaceAllRestoredEndpoints() {
        RestoredEndpointFilter filter = startHoldingEmptyLists(5 * NANOS_PER_SECOND, 1, 2);
        receive(filter, NOW, update(EndpointUpdateKind.FULL));

        receive(filter, NOW + NANOS_PER_SECOND, update(EndpointUpdateKind.DELTA, 2, 3));

        assertEquals(unlimited(2, 3), publishedLimits);
        assertEquals(RestoredEndpointFilter.NEVER, filter.nextWakeupAt());
    }

    @Test
    public void differentSeedsTryDifferentEndpointsFirst() {
        Map<EndpointId, Long> lastContactAt = contactsOfAge(48 * NANOS_PER_HOUR, FOURTEEN_IDS);
        Map<Long, Integer> limitSums = new HashMap<>();
        for (long seed : new long[] {1, 2}) {
            restoreWithFailedDiscovery(
                    new RestoredEndpointFilter(settings(0), seed, lastContactAt, line -> {}), FOURTEEN_IDS);
            publishedLimits.forEach((id, limit) -> limitSums.merge(id, limit, Integer::sum));
        }
        long triedByEither = limitSums.values().stream().filter(sum -> sum > 0).count();
        assertTrue(limitSums.toString(), triedByEither > 3);
        assertTrue(limitSums.toString(), limitSums.containsValue(0));
    }

    /**
     * The address of a restored endpoint may belong to another server by now. A request was once sent to such a server
     * 50 ms after a start, 200 ms before discovery had answered.
     */
    @Test
    public void noEndpointIsTriedBeforeDiscoveryAnswersOrFails() {
        for (long answerAt : answerTimes()) {
            RestoredEndpointFilter filter = filter(Map.of());
            receive(filter, NOW, update(EndpointUpdateKind.CACHED, 1, 2));
            assertEquals(Map.of(1L, 0, 2L, 0), publishedLimits);
            assertEquals("no time ends the wait", Long.MAX_VALUE, filter.nextWakeupAt());

            receive(filter, answerAt, failure(EndpointUpdateKind.FAILED));

            assertEquals(answerAt, filter.nextWakeupAt());
            wakeUp(filter, answerAt);
            assertEquals(Map.of(1L, 1, 2L, 1), publishedLimits);
            assertEquals(Long.MAX_VALUE, filter.nextWakeupAt());
        }
    }

    @Test
    public void answerFromDiscoveryIsAppliedHoweverLateItComes() {
        Map<EndpointUpdateKind, Map<Long, Integer>> limitsByAnswer = Map.of(
                EndpointUpdateKind.FULL, unlimited(2, 3),
                EndpointUpdateKind.DELTA, unlimited(1, 2, 3));
        limitsByAnswer.forEach((kind, limits) -> Arrays.stream(answerTimes()).forEach(answerAt -> {
            RestoredEndpointFilter filter = filter(Map.of());
            receive(filter, NOW, update(EndpointUpdateKind.CACHED, 1, 2));
            assertEquals(Map.of(1L, 0, 2L, 0), publishedLimits);
            assertEquals("no time ends the wait", Long.MAX_VALUE, filter.nextWakeupAt());

            receive(filter, answerAt, update(kind, 2, 3));

            assertEquals(limits, publishedLimits);
            assertEquals(Long.MAX_VALUE, filter.nextWakeupAt());
        }));
    }

    private static long[] answerTimes() {
        return new long[] {NOW, NOW + NANOS_PER_SECOND / 10, NOW + NANOS_PER_HOUR};
    }
}
